package follow

import (
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// maxRecentRecords and maxRecentBytes bound the records kept for peers.
	maxRecentRecords = 512
	maxRecentBytes   = 2 << 20
)

// recentRecords holds the newest applied records without a gap, for peers that
// catch up.
type recentRecords struct {
	maxRecords int // bounds the number of records
	records    []logservice.Record
	bytes      int
}

func (r *recentRecords) add(record logservice.Record) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	drop := 0
	for len(r.records)-drop > r.maxRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	if drop > 0 {
		r.records = append([]logservice.Record(nil), r.records[drop:]...)
	}
}

func (r *recentRecords) reset() { *r = recentRecords{maxRecords: r.maxRecords} }

// after returns the records after an offset, and false if one of them is missing.
func (r *recentRecords) after(offset int64) ([]logservice.Record, bool) {
	if len(r.records) == 0 || r.records[0].Offset > offset+1 {
		return nil, false
	}
	skip := min(int64(len(r.records)), offset+1-r.records[0].Offset)
	return r.records[skip:], true
}
