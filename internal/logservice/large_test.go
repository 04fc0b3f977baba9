package logservice_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// serveLog serves reads of a log with the values. It returns a client.
func serveLog(t *testing.T, values ...[]byte) *logservice.HTTPLog {
	t.Helper()
	encoded := map[*byte]string{} // values that occur several times are encoded once
	for _, value := range values {
		encoded[&value[0]] = base64.StdEncoding.EncodeToString(value)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		count, _ := strconv.Atoi(r.URL.Query().Get("count"))
		separator := "["
		for i := offset; i < min(len(values), offset+count); i++ {
			_, err := fmt.Fprintf(w, `%s{"partition":0,"offset":%d,"value":"%s"}`, separator, i, encoded[&values[i][0]])
			if err != nil {
				return // the client has read enough
			}
			separator = ","
		}
		if separator == "[" {
			_, _ = io.WriteString(w, separator) // of an empty list
		}
		_, _ = io.WriteString(w, "]")
	}))
	t.Cleanup(server.Close)
	log, err := logservice.NewHTTPLog(server.URL, timeout)
	require.NoError(t, err)
	return log
}

// Guards against one long record of another writer, after which no daemon reads a configuration or a claim any more.
func TestRecordsBehindALongOneAreRead(t *testing.T) {
	for _, longBytes := range []int{3 << 20, 4 << 20, 6 << 20, 7 << 20, 10 << 20} {
		long := bytes.Repeat([]byte("x"), longBytes)
		log := serveLog(t, []byte("a"), long, []byte("z"))
		records, err := log.Read(context.Background(), "t", 0, 500)
		if !assert.NoError(t, err, longBytes) || !assert.Len(t, records, 3) {
			continue
		}
		assert.Equal(t, "a", string(records[0].Value))
		assert.Equal(t, "z", string(records[2].Value))
		if longBytes < 6<<20 {
			assert.Equal(t, long, records[1].Value)
		} else {
			assert.NotEmpty(t, records[1].Value, "an empty value is one that a writer may write")
		}
	}
}

// Guards against a read of many large records that fails for ever, and against taking a part of them for the end of the log.
func TestManyLargeRecordsAreReadInParts(t *testing.T) {
	const count = 120
	value := bytes.Repeat([]byte("x"), 1<<20) // as claims.DefaultMaxBatchBytes
	values := make([][]byte, count)
	for i := range values {
		values[i] = value
	}
	log := serveLog(t, values...)
	read, reads := 0, 0
	growth := peakGrowth(func() {
		for {
			records, err := log.Read(context.Background(), "t", int64(read), 500)
			more := errors.Is(err, logservice.ErrMoreRecords)
			if !more {
				require.NoError(t, err)
			}
			for i, r := range records {
				require.EqualValues(t, read+i, r.Offset)
				require.Len(t, r.Value, len(value))
			}
			read += len(records)
			reads++
			if !more {
				break
			}
			require.NotEmpty(t, records)
		}
	})
	t.Logf("%d reads, %d MB", reads, growth>>20)
	assert.Equal(t, count, read)
	assert.Less(t, growth, uint64(160<<20))
}

// Guards against writing a value that can't be read any more.
func TestValuesThatCanNotBeReadAreNotAppended(t *testing.T) {
	log := serveLog(t)
	_, err := log.Append(context.Background(), "t", [][]byte{nil, make([]byte, logservice.MaxValueBytes+1)})
	assert.ErrorIs(t, err, logservice.ErrNotAppended)
}
