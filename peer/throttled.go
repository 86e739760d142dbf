package peer

import (
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

func encodeThrottled(list []relay.Throttled) []*peerpb.Throttled {
	var out []*peerpb.Throttled
	for _, t := range list[:min(len(list), relay.MaxThrottled)] {
		out = append(out, &peerpb.Throttled{
			Customer: t.Customer, CustomerPriority: uint32(t.CustomerPriority), Priority: uint32(t.Priority), Admitted: t.Admitted,
		})
	}
	return out
}

// decodeThrottled keeps the first customers of a list that is longer than this release sends.
func decodeThrottled(list []*peerpb.Throttled) ([]relay.Throttled, error) {
	var out []relay.Throttled
	for _, t := range list[:min(len(list), relay.MaxThrottled)] {
		inRange := t.GetAdmitted() >= 0 && t.GetAdmitted() <= 1 // not if it is no number
		if !inRange || max(t.GetCustomerPriority(), t.GetPriority()) > route.MaxCount {
			return nil, wrap("decode delegation result", KindDecode, errOutOfRange)
		}
		if !customer.ValidName(t.GetCustomer()) {
			return nil, wrap("decode delegation result", KindDecode, errCustomer)
		}
		out = append(out, relay.Throttled{
			Customer: t.GetCustomer(), CustomerPriority: int(t.GetCustomerPriority()), Priority: int(t.GetPriority()), Admitted: t.GetAdmitted(),
		})
	}
	return out, nil
}
