package world

// Step is a step of interest, at which a fault may strike.
type Step string

// The steps.
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

// Steps lists all steps in the order of a task's life.
var Steps = []Step{
	Submit, Append, Place, Start, Renew, Checkpoint, Evict, Resume, Complete, Cancel,
	Publish, Announce, Forward, Answer, Drain, Takeover, Snapshot,
}
