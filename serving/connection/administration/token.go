package administration

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Token is the credential of one operator.
type Token struct {
	Name string
	// SHA256 is the hash of the token in lower-case hexadecimal.
	SHA256 string
}

// Tokens are the credentials of all operators.
type Tokens []Token

// ParseTokens parses a file of lines "NAME SHA256HEX". Empty lines and lines that begin
// with # are skipped. The error lists all invalid lines; file is its name for the error.
func ParseTokens(file string, data []byte) (Tokens, error) {
	var tokens Tokens
	var faults []string
	names := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		token, fault := parseToken(line)
		if fault == "" && names[token.Name] {
			fault = "operator " + token.Name + " is listed twice, each name is allowed once"
		}
		if fault != "" {
			faults = append(faults, fmt.Sprintf("%s: line %d: %s", file, number, fault))
			continue
		}
		names[token.Name] = true
		tokens = append(tokens, token)
	}
	if err := scanner.Err(); err != nil {
		faults = append(faults, fmt.Sprintf("%s: %v", file, err))
	}
	if len(faults) > 0 {
		return nil, errors.New(strings.Join(faults, "\n"))
	}
	return tokens, nil
}

func parseToken(line string) (Token, string) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return Token{}, "allowed: NAME SHA256HEX"
	}
	sum, err := hex.DecodeString(fields[1])
	if err != nil || len(sum) != sha256.Size || strings.ToLower(fields[1]) != fields[1] {
		return Token{}, "the hash is refused, allowed: 64 lower-case hexadecimal digits"
	}
	return Token{Name: fields[0], SHA256: fields[1]}, ""
}

// Authenticate returns the name of the operator that a token belongs to. It compares in
// constant time.
func (t Tokens) Authenticate(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	found := -1
	for i := range t {
		same := subtle.ConstantTimeCompare([]byte(hash), []byte(t[i].SHA256))
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return "", false
	}
	return t[found].Name, true
}
