package leader

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// rendezvousHash returns the weight of a writer in a cell. Entries claim a cell in
// ascending order of it.
func rendezvousHash(cell, writer string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(cell))
	h.Write([]byte{0})
	h.Write([]byte(writer))
	return h.Sum64()
}

// hashAssignments returns a hash of a list of assignments, by which an agent and
// the leader detect that the list need not be sent again.
func hashAssignments(list []*schema.Assignment) uint64 {
	h := fnv.New64a()
	var buf [8]byte
	for _, a := range list {
		h.Write([]byte(a.GetTask().GetJob()))
		binary.BigEndian.PutUint32(buf[:], a.GetTask().GetIndex())
		binary.BigEndian.PutUint32(buf[4:], a.GetTask().GetEpoch())
		h.Write(buf[:])
		if a.GetEvict() {
			h.Write([]byte{1})
		}
		binary.BigEndian.PutUint32(buf[:], a.GetSlots())
		binary.BigEndian.PutUint32(buf[4:], a.GetLatencyAimMs())
		h.Write(buf[:])
		for _, k := range a.GetKinds() {
			h.Write([]byte(k.GetName()))
			binary.BigEndian.PutUint32(buf[:], k.GetShare())
			binary.BigEndian.PutUint32(buf[4:], k.GetWeight())
			h.Write(buf[:])
		}
	}
	return h.Sum64()
}
