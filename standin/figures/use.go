package figures

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// use is the resource use of an entry instance since its start; resident is its current memory.
type use struct {
	// processor is in seconds, resident and peerBytes in bytes.
	processor, resident, peerBytes, storeCalls float64
}

// readUse returns an entry instance's resource use from its metrics.
func readUse(ctx context.Context, entry *launch.Process) (use, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Administration+"/metrics", nil)
	if err != nil {
		return use{}, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return use{}, errors.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return use{}, errors.Wrap(err, "read metrics")
	}
	text := string(data)
	return use{
		processor:  metricSum(text, "process_cpu_seconds_total"),
		resident:   metricSum(text, "process_resident_memory_bytes"),
		peerBytes:  metricSum(text, "papayaport_peer_bytes_in_total") + metricSum(text, "papayaport_peer_bytes_out_total"),
		storeCalls: metricSum(text, "papayaport_store_calls_total"),
	}, nil
}

// readAll returns the sum of the resource use of several entry instances.
func readAll(ctx context.Context, entries []*launch.Process) (use, error) {
	var sum use
	for _, entry := range entries {
		one, err := readUse(ctx, entry)
		if err != nil {
			return sum, err
		}
		sum.processor += one.processor
		sum.resident += one.resident
		sum.peerBytes += one.peerBytes
		sum.storeCalls += one.storeCalls
	}
	return sum, nil
}

// workers runs a function in several goroutines and returns the sum of its counts.
func workers(number int, work func() (int, error)) (int, error) {
	counts := make([]int, number)
	var group errgroup.Group
	for i := range number {
		group.Go(func() error {
			count, err := work()
			counts[i] = count
			return err
		})
	}
	err := group.Wait()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum, err
}

// unlimitedFiles writes a tenant's service files without rate limits of client accounts, and
// returns their paths.
func unlimitedFiles(directory, name string) ([]string, error) {
	tenant, err := tenants.Get(name)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, file := range tenant.Services {
		for i := range file.Accounts {
			file.Accounts[i].RequestsPerSecond = 0
			file.Accounts[i].TokensPerSecond = 0
			file.Accounts[i].Concurrency = 0
		}
		file.Capacity.SlotsPerServer = slotsPerEngine
		file.Capacity.MinPerDomain, file.Capacity.MaxPerDomain = 1, 1
		if file.Model != nil {
			file.Model.MaxTokens = 2 * streamTokens
		}
		data, err := json.MarshalIndent(file, "", "  ")
		if err != nil {
			return nil, errors.Wrap(err, "encode service file")
		}
		path := filepath.Join(directory, "unlimited-"+file.Name+".json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return nil, errors.Wrap(err, "write service file")
		}
		files = append(files, path)
	}
	return files, nil
}

func question(number int) []wire.Message {
	return []wire.Message{{Role: "user", Content: fmt.Sprintf("Case %d: what happens tomorrow morning?", number)}}
}
