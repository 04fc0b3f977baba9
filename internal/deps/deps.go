// Package deps pins the libraries that the first packages are about to use.
package deps

import (
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/require"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcserver"
)
