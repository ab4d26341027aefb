package api

import "github.com/goccy/go-json"

// Decode decodes JSON that arrives hundreds of times a second: worker reports, watch responses and
// machine records. It accepts what encoding/json accepts in a fifth of the time; decoding a fleet's
// reports with encoding/json was most of a block holder's CPU time.
func Decode(body []byte, into any) error { return json.Unmarshal(body, into) }
