package world

// Step is a kind of step of a process. World.Hook is called before each step and
// may inject a fault.
type Step string

// The steps. Entries take Submit, Append, Place, Complete, Cancel, Publish,
// Takeover and Snapshot; agents take the others.
const (
	Submit     Step = "submit"
	Append     Step = "append"
	Place      Step = "place"
	Start      Step = "start"
	Renew      Step = "renew lease"
	Checkpoint Step = "checkpoint"
	Evict      Step = "evict"
	Resume     Step = "resume"
	Complete   Step = "complete"
	Cancel     Step = "cancel"
	Publish    Step = "publish"
	Announce   Step = "announce"
	Forward    Step = "forward"
	Answer     Step = "answer"
	Drain      Step = "drain"
	Takeover   Step = "takeover"
	Snapshot   Step = "snapshot"
)

// Steps lists all steps: those of a task in the order in which a task goes through
// them, then the others.
var Steps = []Step{
	Submit, Append, Place, Start, Renew, Checkpoint, Evict, Resume, Complete, Cancel,
	Publish, Announce, Forward, Answer, Drain, Takeover, Snapshot,
}
