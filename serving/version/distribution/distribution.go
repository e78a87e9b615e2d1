// Package distribution copies configurations between entry instances in compressed chunks, so that
// a large configuration reaches instances with slow links, and an interrupted copy continues where
// it stopped, possibly from another instance.
//
// Chunks are identified by the hash of their content, and their borders depend on the content
// alone. A change of a few routes therefore leaves most chunks of a configuration as they were, and
// an instance copies only those that it lacks.
//
// # Usage
//
// Each instance offers the versions that it has in force:
//
//	archive := distribution.NewArchive()
//	archive.Add(version, raw)
//	manifest, found := archive.Manifest()
//	chunk, found := archive.Chunk(hash)
//
// and copies higher ones. Table decides what to request next from which instance; it makes no
// calls:
//
//	table := distribution.New(archive, random)
//	table.Announce(now, distribution.Source{Address: address, Version: 9})
//	order, retryAt, found := table.Next(now)
//	table.ReceiveChunk(now, order, data) // or ReceiveManifest or Fail
//	copied, done := table.Take()
//	table.SetHeld(copied.Version)
//
// # Locks
//
// Table.mu may be held while Archive.mu is locked, never the other way round.
package distribution

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"papayaport.dev/serving/version/publication"
)

// MaxBytes is the maximum size of a configuration in bytes. It bounds the memory that a faulty peer
// can make an instance use.
const MaxBytes = 16 << 20

// Manifest lists the chunks of a configuration in their order.
type Manifest struct {
	Version uint64             `cbor:"1,keyasint"`
	Bytes   int                `cbor:"2,keyasint"`
	Chunks  []publication.Hash `cbor:"3,keyasint"`
}

// compress returns the compressed form of a chunk.
func compress(chunk []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create compressor")
	}
	if _, err := writer.Write(chunk); err != nil {
		return nil, errors.Wrap(err, "compress chunk")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress chunk")
	}
	return packed.Bytes(), nil
}

// expand returns the chunk of a compressed form, and an error if it does not have the hash.
func expand(packed []byte, hash publication.Hash) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	chunk, err := io.ReadAll(io.LimitReader(reader, maxChunkBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "expand chunk")
	}
	if publication.HashOf(chunk) != hash {
		return nil, errors.Errorf("chunk %s has another hash", hash)
	}
	return chunk, nil
}
