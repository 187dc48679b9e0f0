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

// resultBytes is the memory of a kept answer beside its packed form.
const resultBytes = 64

// pack writes the answer into one piece of memory, as a header map takes several
// times its text.
func pack(a *Response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d %s\r\n", a.Status, a.Server)
	_ = a.Header.Write(&b) // a Buffer takes every write
	b.WriteString("\r\n")
	b.Write(a.Body)
	return bytes.Clone(b.Bytes())
}

// unpack reads what pack wrote.
func unpack(packed []byte) Response {
	br := bufio.NewReader(bytes.NewReader(packed))
	text := textproto.NewReader(br)
	line, _ := text.ReadLine()
	status, server, _ := strings.Cut(line, " ")
	a := Response{Server: server, BodyKept: true}
	a.Status, _ = strconv.Atoi(status)
	header, _ := text.ReadMIMEHeader()
	a.Header = http.Header(header)
	a.Body, _ = io.ReadAll(br)
	return a
}
