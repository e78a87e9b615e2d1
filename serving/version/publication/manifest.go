package publication

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"papayaport.dev/serving/version/service"
)

// MaxChunkBytes is the maximum size of a chunk in bytes.
const MaxChunkBytes = 64 << 10

// Manifest lists the service files of a version, sorted by service.
type Manifest struct {
	Files []ManifestFile `json:"files"`
}

// ManifestFile is one service file as a list of chunks.
type ManifestFile struct {
	Service string `json:"service"`
	Bytes   int    `json:"bytes"`
	Chunks  []Hash `json:"chunks"`
}

// Contents holds chunks by their hash.
type Contents map[Hash][]byte

// Encode returns the manifest as it is stored; equal manifests have equal bytes.
func (m Manifest) Encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // every field of a manifest can be encoded
	}
	return data
}

// DecodeManifest verifies the hash of a manifest and decodes it.
func DecodeManifest(hash Hash, data []byte) (Manifest, error) {
	if HashOf(data) != hash {
		return Manifest{}, errors.Errorf("manifest %s has another hash", hash)
	}
	var manifest Manifest
	err := json.Unmarshal(data, &manifest)
	return manifest, errors.Wrapf(err, "reading manifest %s", hash)
}

// Hashes returns the hashes of all chunks, each once, in the order of the files.
func (m Manifest) Hashes() []Hash {
	seen := map[Hash]bool{}
	hashes := []Hash{}
	for _, file := range m.Files {
		for _, hash := range file.Chunks {
			if !seen[hash] {
				hashes = append(hashes, hash)
			}
			seen[hash] = true
		}
	}
	return hashes
}

// split splits a file into chunks, adds them to contents and returns the file's manifest entry.
func split(name string, data []byte, contents Contents) ManifestFile {
	file := ManifestFile{Service: name, Bytes: len(data), Chunks: []Hash{}}
	for part := range slices.Chunk(data, MaxChunkBytes) {
		hash := HashOf(part)
		contents[hash] = part
		file.Chunks = append(file.Chunks, hash)
	}
	return file
}

// data joins the chunks of a file.
func (f ManifestFile) data(contents Contents) ([]byte, error) {
	var joined bytes.Buffer
	for _, hash := range f.Chunks {
		part, ok := contents[hash]
		if !ok {
			return nil, errors.Errorf("chunk %s of service %s is missing", hash, f.Service)
		}
		joined.Write(part)
	}
	return joined.Bytes(), nil
}

// merge returns the base manifest with the given files replaced or added, and the removed
// services left out.
func merge(base Manifest, files []ManifestFile, removed []string) Manifest {
	byService := map[string]ManifestFile{}
	for _, file := range base.Files {
		byService[file.Service] = file
	}
	for _, name := range removed {
		delete(byService, name)
	}
	for _, file := range files {
		byService[file.Service] = file
	}
	merged := Manifest{Files: make([]ManifestFile, 0, len(byService))}
	for _, file := range byService {
		merged.Files = append(merged.Files, file)
	}
	sort.Slice(merged.Files, func(i, j int) bool { return merged.Files[i].Service < merged.Files[j].Service })
	return merged
}

// changes returns the differences between two manifests, sorted by service.
func changes(base, next Manifest) []Change {
	before := map[string]ManifestFile{}
	for _, file := range base.Files {
		before[file.Service] = file
	}
	list := []Change{}
	for _, file := range next.Files {
		old, ok := before[file.Service]
		delete(before, file.Service)
		switch {
		case !ok:
			list = append(list, Change{file.Service, Added})
		case !slices.Equal(old.Chunks, file.Chunks):
			list = append(list, Change{file.Service, Changed})
		}
	}
	for name := range before {
		list = append(list, Change{name, Removed})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

// load parses and checks the files of a manifest as one configuration. Files whose chunks are
// the same in the previous version are reused from it.
func load(manifest Manifest, contents Contents, previous *Version) (map[string]*service.File, []service.Fault) {
	files := make(map[string]*service.File, len(manifest.Files))
	var faults []service.Fault
	for _, entry := range manifest.Files {
		file, wrong := loadFile(entry, contents, previous)
		faults = append(faults, wrong...)
		if file != nil {
			files[entry.Service] = file
		}
	}
	faults = append(faults, service.Check(files)...)
	return files, faults
}

func loadFile(entry ManifestFile, contents Contents, previous *Version) (*service.File, []service.Fault) {
	if file := previous.unchanged(entry); file != nil {
		return file, nil
	}
	data, err := entry.data(contents)
	if err != nil {
		return nil, []service.Fault{{File: entry.Service, Value: err.Error(), Allowed: "all chunks"}}
	}
	file, faults := service.Parse(entry.Service, data)
	if file != nil && file.Name != entry.Service {
		faults = append(faults, service.Fault{File: entry.Service, Field: "name", Value: file.Name, Allowed: entry.Service})
		return nil, faults
	}
	return file, faults
}

// Version is a configuration in force. It is immutable.
type Version struct {
	Number uint64
	Head   Head
	// Files holds the parsed service files by service name.
	Files         map[string]*service.File
	manifest      Manifest
	manifestBytes []byte
	contents      Contents
}

// unchanged returns the parsed file if the version has it with the same chunks, nil otherwise.
func (v *Version) unchanged(entry ManifestFile) *service.File {
	if v == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(v.manifest.Files, entry.Service, compareService)
	if !ok || !slices.Equal(v.manifest.Files[at].Chunks, entry.Chunks) {
		return nil
	}
	return v.Files[entry.Service]
}

// chunk returns a chunk of the version.
func (v *Version) chunk(hash Hash) ([]byte, bool) {
	if v == nil {
		return nil, false
	}
	part, ok := v.contents[hash]
	return part, ok
}

func compareService(file ManifestFile, name string) int {
	switch {
	case file.Service < name:
		return -1
	case file.Service > name:
		return 1
	}
	return 0
}

// File returns a service file as it was published.
func (v *Version) File(name string) ([]byte, bool) {
	at, ok := slices.BinarySearchFunc(v.manifest.Files, name, compareService)
	if !ok {
		return nil, false
	}
	data, err := v.manifest.Files[at].data(v.contents)
	return data, err == nil
}
