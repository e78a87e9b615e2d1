// Package text generates the texts that the demo, the measurements and the tests send: court
// filings and claims for a fact-check desk, and case files, chats and bookings of veterinary
// clinics. The same seed yields the same text.
//
// # Usage
//
//	filing := text.Filing(7, 4000)
//	question := text.NightChat(3)
package text

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Parts of sentences.
var (
	courtSubjects = []string{
		"the petitioner", "the county clerk", "the appellate panel", "counsel for the intervenor",
		"the district court", "the election board", "the special master", "the relator",
	}
	courtVerbs = []string{
		"moved to strike", "relied upon", "distinguished", "declined to extend", "certified",
		"held in abeyance", "remanded", "took judicial notice of",
	}
	courtObjects = []string{
		"the canvass of the fourth precinct", "the deposition of 12 March", "the ruling in the water-rights matter",
		"the exhibit marked C-114", "the amended map", "the affidavit of service", "the bond resolution",
		"the stipulated findings",
	}
	courtReasons = []string{
		"for want of standing", "under the open-records act", "over a written dissent", "without prejudice",
		"as the statute of limitations had run", "on a showing of good cause", "in the interest of finality",
	}
	pets     = []string{"Zaytoun", "Lulu", "Simsim", "Baraka", "Mishmish", "Noura", "Antar", "Yasmin"}
	animals  = []string{"cat", "dog", "rabbit", "parrot", "tortoise"}
	clinics  = []string{"Abdoun", "Jabal Amman", "Irbid North", "Sweifieh", "Husn Road"}
	feelings = []string{
		"I can't sleep and the house is very quiet", "I keep hearing the bowl being pushed along the floor",
		"my son asks every hour where the blanket is", "I wonder whether we waited too long",
	}
	questions = []string{
		"what happens tomorrow morning", "may we keep the collar", "when can we collect the urn",
		"could someone call my mother first",
	}
)

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func pick(r *rand.Rand, from []string) string { return from[r.IntN(len(from))] }

// Filing returns a court filing of about the given number of words, in numbered paragraphs.
func Filing(seed uint64, words int) string {
	r := random(seed)
	var b strings.Builder
	fmt.Fprintf(&b, "Cause No. %d-CV-%05d. Brief on the merits.\n", 2020+r.IntN(6), r.IntN(100000))
	for paragraph, written := 1, 6; written < words; paragraph++ {
		sentence := fmt.Sprintf(
			"%d. On day %d of the term %s %s %s %s, and %s %s %s.\n", paragraph, 1+r.IntN(180),
			pick(r, courtSubjects), pick(r, courtVerbs), pick(r, courtObjects), pick(r, courtReasons),
			pick(r, courtSubjects), pick(r, courtVerbs), pick(r, courtObjects),
		)
		written += len(strings.Fields(sentence))
		b.WriteString(sentence)
	}
	return b.String()
}

// Claim returns a reporter's question about a filing.
func Claim(seed uint64) string {
	r := random(seed)
	return fmt.Sprintf("Does paragraph %d support the statement that %s %s %s?",
		1+r.IntN(40), pick(r, courtSubjects), pick(r, courtVerbs), pick(r, courtObjects))
}

// NightChat returns the message of a pet's owner to a clinic's night line.
func NightChat(seed uint64) string {
	r := random(seed)
	return fmt.Sprintf("Our %s %s died at the %s clinic this evening. %s. Please tell me, %s?",
		pick(r, animals), pick(r, pets), pick(r, clinics), pick(r, feelings), pick(r, questions))
}

// CaseFile returns a clinic's case file with the request for a letter.
func CaseFile(seed uint64) string {
	r := random(seed)
	return fmt.Sprintf(
		"Clinic %s, case %05d. %s, a %s of %d years, %d visits since spring. Draft the cremation arrangements and a letter to the family. Note: %s.",
		pick(r, clinics), r.IntN(100000), pick(r, pets), pick(r, animals), 1+r.IntN(18), 1+r.IntN(9), pick(r, feelings),
	)
}

// Booking returns the JSON body of a cremation booking with an id.
func Booking(seed uint64, id string) []byte {
	r := random(seed)
	return []byte(fmt.Sprintf(`{"id":%q,"pet":%q,"animal":%q,"clinic":%q,"slot":"%02d:30"}`,
		id, pick(r, pets), pick(r, animals), pick(r, clinics), 8+r.IntN(9)))
}

// Correction returns the JSON body of a newspaper's correction with an id.
func Correction(seed uint64, id string) []byte {
	r := random(seed)
	return []byte(fmt.Sprintf(`{"id":%q,"paper":"Hill Country Herald","text":"An earlier report said that %s %s %s. It was not so."}`,
		id, pick(r, courtSubjects), pick(r, courtVerbs), pick(r, courtObjects)))
}
