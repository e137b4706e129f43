// Package crowd tests that the system's processes withstand clients that don't keep to the
// interface: crowds of bodies that never end, bodies that cost much memory to decode, and
// connections beyond the descriptors of a machine.
//
// The tests start the real programs on loopback and check what doesn't depend on the speed of the
// machine: that each process lives, that its memory and its descriptors stay below those of the
// machines that it is for, and that an ordinary request on a new connection is answered. They have
// the build tag crowd, because they must run one at a time and apart from other load.
package crowd
