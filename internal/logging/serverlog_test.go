package logging

import (
	"bytes"
	"fmt"
	"log"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestServerLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	l := &serverLog{logger: slog.New(slog.NewTextHandler(&out, nil)), now: func() time.Time { return now }}
	logger := log.New(l, "", 0)
	for i := range 100 {
		logger.Printf("line %d", i)
	}
	assert.Equal(t, maxServerLines, strings.Count(out.String(), "\n"))
	assert.Contains(t, out.String(), `level=WARN msg="HTTP server reports an error." error="line 0" dropped=0`)
	out.Reset()
	now = now.Add(serverLineInterval)
	logger.Print(strings.Repeat("x", 1<<20))
	assert.Contains(t, out.String(), fmt.Sprintf("dropped=%d", 100-maxServerLines))
	assert.Less(t, out.Len(), maxServerLineBytes+200)
}
