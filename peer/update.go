package peer

import (
	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/store"
)

func encodeUpdate(u catalog.Update) *peerpb.Update {
	out := &peerpb.Update{From: u.From, To: u.To, Lost: u.StoreLost}
	for _, it := range u.Items {
		out.Items = append(out.Items, &peerpb.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed})
	}
	return out
}

// maxRevision is the highest revision of the store that is accepted. After a higher one
// all true changes would look old.
const maxRevision = 1 << 53

func decodeUpdate(u *peerpb.Update) (catalog.Update, error) {
	if u.GetTo() > maxRevision {
		return catalog.Update{}, wrap("decode update", KindDecode, errOutOfRange)
	}
	out := catalog.Update{From: u.GetFrom(), To: u.GetTo(), StoreLost: u.GetLost()}
	for _, it := range u.GetItems() {
		if it.GetRevision() > maxRevision || it.GetKey() == "" {
			return catalog.Update{}, wrap("decode update", KindDecode, errOutOfRange)
		}
		out.Items = append(out.Items, store.Item{
			Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Removed: it.GetRemoved(),
		})
	}
	return out, nil
}
