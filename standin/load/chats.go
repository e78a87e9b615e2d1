package load

import (
	"math/rand/v2"
	"strings"
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// Sizes of the chats shape.
const (
	minTurns         = 2
	maxTurns         = 5
	turnGap          = 1800 * time.Millisecond
	chatAnswerTokens = 64 // tokens
	// examples is the number of sample chats in the common instructions.
	examples = 8
)

// chats generates the load of a clinic's night line: many short chats that begin with the same
// instructions, where each turn repeats the earlier messages.
type chats struct{}

// Tenant implements Shape.
func (chats) Tenant() string { return tenants.Rahmeh }

// Arrivals implements Shape.
func (chats) Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 13))
	rate := plan.Rate / (float64(minTurns+maxTurns) / 2)
	first := wire.Message{Role: "system", Content: instructions()}
	var arrivals []Arrival
	for _, at := range times(random, rate, plan.Duration) {
		account := pickAccount(random, plan.Tenant.Accounts)
		messages := []wire.Message{first}
		for range minTurns + random.IntN(maxTurns-minTurns+1) {
			messages = append(messages, userMessage(text.NightChat(random.Uint64())))
			turn := Arrival{At: at, Account: account, MaxTokens: chatAnswerTokens, Messages: append([]wire.Message{}, messages...)}
			arrivals = append(arrivals, turn)
			answer := engine.Text(engine.Answer(plan.Tenant.ModelName(), turn.Messages, chatAnswerTokens))
			messages = append(messages, wire.Message{Role: "assistant", Content: answer})
			at += turnGap/2 + time.Duration(random.ExpFloat64()*float64(turnGap)/2)
		}
	}
	return sortArrivals(arrivals, plan.Duration)
}

// instructions returns the system message that all chats begin with.
func instructions() string {
	var b strings.Builder
	b.WriteString("You answer owners who lost a pet. Be brief and kind, and never promise a time. Samples:\n")
	for i := range uint64(examples) {
		b.WriteString(text.NightChat(i))
		b.WriteString("\n")
	}
	return b.String()
}
