// Decoding of messages of the previous version. It encodes them as arrays, and the library decodes an
// array only into a struct with as many fields. Both versions decode maps and skip unknown fields,
// so messages are sent as maps with short names, and arrays are decoded here.

package places

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Request) DecodeMsgpack(decoder *msgpack.Decoder) error {
	isArray, err := startsArray(decoder)
	if err != nil {
		return err
	}
	if !isArray {
		type fields Request // without this method
		return decoder.Decode((*fields)(r))
	}
	return decodeArray(decoder, &r.Box, &r.TargetZone, &r.Zone, &r.Service, &r.Model, &r.Exclude, &r.AffinityKey, &r.TieBreaker,
		&r.PrefillLimit, &r.Tokens, &r.Memory, &r.Versions, &r.Urgency, &r.MaxWait, &r.PrefillSamples)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Response) DecodeMsgpack(decoder *msgpack.Decoder) error {
	isArray, err := startsArray(decoder)
	if err != nil {
		return err
	}
	if !isArray {
		type fields Response // without this method
		return decoder.Decode((*fields)(r))
	}
	return decodeArray(decoder, &r.Server, &r.NotOwner)
}

// startsArray reports whether the next value is an array.
func startsArray(decoder *msgpack.Decoder) (bool, error) {
	code, err := decoder.PeekCode()
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32, err
}

// decodeArray decodes an array into its fields. Elements after the last field are skipped, and fields
// after the last element stay unchanged.
func decodeArray(decoder *msgpack.Decoder, fields ...any) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range count {
		if i >= len(fields) {
			err = decoder.Skip()
		} else {
			err = decoder.Decode(fields[i])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
