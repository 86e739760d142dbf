package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/peer/peerpb"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

const (
	// minCompressedBytes is the size from which an update is compressed.
	minCompressedBytes = 1 << 10

	// maxUpdateBytes bounds an update, so that a short message cannot take much memory.
	maxUpdateBytes = 4 << 20
)

// compressedUpdate is a catalog.Update that is encoded once for all its receivers.
type compressedUpdate struct{ update *peerpb.Update }

// PeerBody marks compressedUpdate as the body of a message between VMs.
func (compressedUpdate) PeerBody() {}

// Compress returns a message body that arrives as u and takes less space on the wire. The
// receivers must accept compressed updates. A small update is returned as it is.
func Compress(u catalog.Update) vm.PeerBody {
	data, err := proto.Marshal(encodeUpdate(u))
	if err != nil || len(data) < minCompressedBytes || len(data) > maxUpdateBytes {
		return u
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return u
	}
	if _, err := w.Write(data); err != nil || w.Close() != nil {
		return u
	}
	return compressedUpdate{&peerpb.Update{Compressed: out.Bytes()}}
}

// decompress returns the update that a compressed one holds.
func decompress(u *peerpb.Update) (*peerpb.Update, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.GetCompressed())), maxUpdateBytes+1))
	if err == nil && len(data) > maxUpdateBytes {
		err = errOutOfRange
	}
	var out peerpb.Update
	if err == nil {
		err = proto.Unmarshal(data, &out)
	}
	if err == nil && len(out.GetCompressed()) > 0 {
		err = errOutOfRange // compressed twice
	}
	if err != nil {
		return nil, wrap("decompress update", KindDecode, err)
	}
	return &out, nil
}

func encodeUpdate(u catalog.Update) *peerpb.Update {
	out := &peerpb.Update{FromEra: u.FromEra, From: u.From, Era: u.Era, To: u.To, Lost: u.StoreLost, Listed: u.Listed}
	for _, it := range u.Items {
		out.Items = append(out.Items, &peerpb.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Removed: it.Removed})
	}
	return out
}

// maxRevision is the highest revision, or era, of the store that is accepted. After a higher one
// all true changes would look old.
const maxRevision = 1 << 53

func decodeUpdate(u *peerpb.Update) (catalog.Update, error) {
	if len(u.GetCompressed()) > 0 {
		var err error
		if u, err = decompress(u); err != nil {
			return catalog.Update{}, err
		}
	}
	if u.GetTo() > maxRevision || u.GetEra() > maxRevision || u.GetFromEra() > u.GetEra() {
		return catalog.Update{}, wrap("decode update", KindDecode, errOutOfRange)
	}
	out := catalog.Update{FromEra: u.GetFromEra(), From: u.GetFrom(), Era: u.GetEra(), To: u.GetTo(), StoreLost: u.GetLost(), Listed: u.GetListed()}
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
