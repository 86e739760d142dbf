package entry

import (
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/roster"
)

func convertVMList(list []roster.VM) []fleet.VM {
	out := make([]fleet.VM, len(list))
	for i, r := range list {
		out[i] = fleet.VM{ID: r.ID, Address: r.Address, DataCentre: r.DataCentre, State: stateOf(r.Leaving)}
	}
	return out
}

func stateOf(leaving bool) fleet.State {
	if leaving {
		return fleet.Leaving
	}
	return fleet.Alive
}
