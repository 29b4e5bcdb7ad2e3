package edge

import "github.com/junctionfold/junctionfold/internal/fleet"

// targetSaid takes what a target said of itself beside an answer to this VM.
func (n *Node) targetSaid(target string, said fleet.Notice) {
	if said != (fleet.Notice{}) {
		n.log.TargetSaid(target, said.Leaving, said.Rest)
	}
}
