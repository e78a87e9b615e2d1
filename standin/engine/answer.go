package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	wire "papayaport.dev/serving/connection/engine"
)

// DefaultMaxTokens is the maximum length in tokens of an answer whose request has no max_tokens.
const DefaultMaxTokens = 256

// vocabulary holds words of three letters: with its leading space, a word has the length of an
// average token.
var vocabulary = strings.Fields(`
the and for was due her his day law use set per our who any all new old two ten
one not but may can has had did say see ask let put run own pay fee ash urn kin
pet cat dog vet ill ail end sit lie lay rue sob cry joy sun sky sea air oak elm
ivy dew fog tax act bar cap cop fix gap hub ink jot key lab map net odd pin raw
`)

// Answer returns the tokens of the correct answer to messages. Each token but the first begins
// with a space. The number of tokens is between half of maxTokens and maxTokens.
func Answer(model string, messages []wire.Message, maxTokens int) []string {
	return answer(model, wire.Prompt(messages), maxTokens)
}

func answer(model, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	half := maxTokens / 2
	length := max(1, half+int(seed%uint64(maxTokens-half+1)))
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

func token(seed uint64, index int) string {
	word := vocabulary[splitMix64(seed+uint64(index))%uint64(len(vocabulary))]
	if index == 0 {
		return word
	}
	return " " + word
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Text returns the text of an answer's tokens.
func Text(tokens []string) string { return strings.Join(tokens, "") }
