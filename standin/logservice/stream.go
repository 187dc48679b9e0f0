package logservice

import (
	"encoding/json"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// maxPageRecords and maxPageBytes bound one page of records. A single record that is
// larger than maxPageBytes still gets a page of its own.
const (
	maxPageRecords = 500
	maxPageBytes   = 4 << 20
)

// stream is one stream of records, guarded by Server.mu.
type stream struct {
	records []logservice.Record
	oldest  int64 // offset of records[0]
}

func (s *stream) next() int64 { return s.oldest + int64(len(s.records)) }

func (s *stream) append(data json.RawMessage) int64 {
	offset := s.next()
	s.records = append(s.records, logservice.Record{Offset: offset, Data: data})
	return offset
}

// dropBefore deletes the records before an offset.
func (s *stream) dropBefore(offset int64) {
	offset = min(offset, s.next())
	if offset <= s.oldest {
		return
	}
	s.records = append([]logservice.Record(nil), s.records[offset-s.oldest:]...)
	s.oldest = offset
}

// page returns the retained records from an offset on, as many as fit into a page.
func (s *stream) page(from int64) logservice.Page {
	p := logservice.Page{Records: []logservice.Record{}, Next: from}
	bytes := 0
	for i := from - s.oldest; i >= 0 && i < int64(len(s.records)); i++ {
		r := s.records[i]
		bytes += len(r.Data)
		pageFull := len(p.Records) == maxPageRecords || bytes > maxPageBytes
		if pageFull && len(p.Records) > 0 {
			break
		}
		p.Records = append(p.Records, r)
		p.Next = r.Offset + 1
	}
	return p
}
