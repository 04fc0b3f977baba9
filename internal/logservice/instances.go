package logservice

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/filbertrill/filbertrill/internal/bounded"
)

const (
	zoneLabel    = "zone"
	stateLabel   = "state"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// HTTPInstanceList is an InstanceList in the Prometheus HTTP service discovery format.
type HTTPInstanceList struct {
	url     string
	service httpc.Service
}

var _ InstanceList = (*HTTPInstanceList)(nil)

// NewHTTPInstanceList returns a client of the list at the URL that applies the timeout to each
// request. It returns an error if the URL is not an absolute HTTP URL.
func NewHTTPInstanceList(rawURL string, timeout time.Duration) (*HTTPInstanceList, error) {
	u, err := parseServiceURL(rawURL)
	if err != nil {
		return nil, err
	}
	return &HTTPInstanceList{url: u.String(), service: newService("platform-instances", timeout)}, nil
}

// targetGroup is one element of a Prometheus HTTP service discovery response.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Instances returns the listed instances in the order of the list.
// It returns an error if any entry is invalid or listed twice.
func (l *HTTPInstanceList) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Accept", "application/json")
	resp, err := l.service.DoRequest(req)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("list instances: service returned status %d", resp.StatusCode)
	}
	return parseInstances(resp.Body)
}

// maxInstances limits the listed instances and the groups that list them.
const maxInstances = 20_000

func parseInstances(body io.Reader) ([]Instance, error) {
	var instances []Instance
	seen := map[string]bool{}
	err := decodeList(body, maxInstancesBytes, maxInstances, func(d *bounded.Decoder) error {
		var group targetGroup
		if err := d.Decode(&group); err != nil {
			return err
		}
		for _, target := range group.Targets {
			instance, err := parseInstance(target, group.Labels)
			if err != nil {
				return err
			}
			if seen[target] {
				return errors.Newf("target %q is listed twice", target)
			}
			if len(instances) == maxInstances {
				return errors.Newf("there are more than %d instances", maxInstances)
			}
			seen[target] = true
			instances = append(instances, instance)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	return instances, nil
}

func parseInstance(target string, labels map[string]string) (Instance, error) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return Instance{}, errors.Wrapf(err, "target %q", target)
	}
	zone := labels[zoneLabel]
	if zone == "" {
		return Instance{}, errors.Newf("target %q: label zone is missing", target)
	}
	state := labels[stateLabel]
	if state != stateLive && state != stateLeaving {
		return Instance{}, errors.Newf("target %q: unknown state %q", target, state)
	}
	return Instance{PeerAddress: target, Zone: zone, Leaving: state == stateLeaving}, nil
}
