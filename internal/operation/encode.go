package operation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// storedResponseOverhead is the memory in bytes that a stored response takes in
// addition to its encoded form.
const storedResponseOverhead = 64

// encodeResponse serializes the response into one allocation. A header map takes
// several times the memory of its text.
func encodeResponse(resp *Response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d %s\r\n", resp.Status, resp.Server)
	_ = resp.Header.Write(&b) // writes to a bytes.Buffer never fail
	b.WriteString("\r\n")
	b.Write(resp.Body)
	return bytes.Clone(b.Bytes())
}

// decodeResponse decodes the output of encodeResponse.
func decodeResponse(encoded []byte) Response {
	br := bufio.NewReader(bytes.NewReader(encoded))
	text := textproto.NewReader(br)
	line, _ := text.ReadLine()
	status, server, _ := strings.Cut(line, " ")
	resp := Response{Server: server, BodyStored: true}
	resp.Status, _ = strconv.Atoi(status)
	header, _ := text.ReadMIMEHeader()
	resp.Header = http.Header(header)
	resp.Body, _ = io.ReadAll(br)
	return resp
}
