package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSilenceTable returns a Table with plain targets p and q, and the given engines.
func newSilenceTable(engines ...string) *Table {
	t := newTable(append([]string{"p", "q"}, engines...)...)
	t.SetEngines(engines)
	return t
}

// breakBySilence records the silence of a target that a relay reaches.
func breakBySilence(t *Table, now time.Time, target string) Change {
	t.RecordSilence(now, target)
	return t.RecordRelayed(now, target, true)
}

// TestNewConnectionsDoNotEndASilence guards against a VM that takes its paths for sound because
// connections are made, while nothing is answered.
func TestNewConnectionsDoNotEndASilence(t *testing.T) {
	table := newSilenceTable("e", "f")
	assert.Equal(t, breakBySilence(table, start, "p").Broken, "p")
	table.RecordDial(at(10), "p", true)
	table.RecordDial(at(20), "q", true)
	assert.Assert(t, table.ViaRelay(at(30), "p"))
	target, due := table.NextProbe(at(30))
	assert.Assert(t, due && table.AsksQuestions() && target != "p" && target != "q", target)
	assert.Equal(t, len(table.RecordHeard(start)), 0)
	assert.DeepEqual(t, table.RecordHeard(at(40)), []string{"p"})
	assert.Assert(t, !table.ViaRelay(at(50), "p") && !table.AsksQuestions())
}

func TestIsolationBySilenceNeedsAnUnansweredQuestion(t *testing.T) {
	for _, row := range []struct {
		name    string
		engines []string
		record  func(t *Table)
		want    bool
	}{
		{"two silent paths", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			breakBySilence(t, start, "q")
		}, false},
		{"two silent paths and an unanswered question", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			breakBySilence(t, start, "q")
			t.RecordQuestion(at(500), "e", false)
		}, true},
		{"one silent path and an unanswered question", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			t.RecordQuestion(at(500), "e", false)
			t.RecordQuestion(at(1000), "e", false)
		}, false},
		{"one silent path and two unanswered questions", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			t.RecordQuestion(at(500), "e", false)
			t.RecordQuestion(at(1000), "f", false)
		}, true},
		{"an answer between", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			breakBySilence(t, start, "q")
			t.RecordHeard(at(400))
			t.RecordQuestion(at(500), "e", false)
		}, false},
		{"an unanswered question of an earlier silence", []string{"e", "f"}, func(t *Table) {
			breakBySilence(t, start, "p")
			t.RecordQuestion(at(500), "e", false)
			t.RecordHeard(at(600))
			breakBySilence(t, at(2000), "p")
			t.RecordQuestion(at(2500), "f", false)
		}, false},
		{"the relays do not reach the targets either", []string{"e", "f"}, func(t *Table) {
			for _, id := range []string{"p", "q", "e", "f"} {
				t.RecordSilence(start, id)
				t.RecordRelayed(at(10), id, false)
			}
			t.RecordQuestion(at(500), "e", false)
			t.RecordQuestion(at(1000), "f", false)
		}, false},
		{"no engine can be asked", nil, func(t *Table) {
			breakBySilence(t, start, "p")
			breakBySilence(t, start, "q")
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			table := newSilenceTable(row.engines...)
			row.record(table)
			assert.Equal(t, table.Isolated(), row.want)
		})
	}
}

// TestOnlyAnswersEndAnIsolationBySilence guards against a VM that returns to its paths while connections
// are made and not answered.
func TestOnlyAnswersEndAnIsolationBySilence(t *testing.T) {
	table := newSilenceTable("e", "f")
	breakBySilence(table, start, "p")
	breakBySilence(table, start, "q")
	assert.Assert(t, table.RecordQuestion(at(500), "e", false).IsolationBegan)
	for _, id := range []string{"p", "q", "e", "f"} {
		table.RecordDial(at(600), id, true)
	}
	table.RecordHeard(at(600))
	assert.Assert(t, table.Isolated() && table.IsSilent("p") && !table.CanRelay())
	table.RecordQuestion(at(700), "e", true)
	table.RecordQuestion(at(700), "e", true)
	assert.Assert(t, table.Isolated(), "one engine")
	assert.Assert(t, table.RecordQuestion(at(800), "f", true).IsolationEnded)
	assert.Assert(t, table.CanRelay() && !table.IsSilent("p"))
}

// TestIsolationBySilenceEndsWithoutEngines guards against a VM that stays isolated because nobody is left
// to be asked.
func TestIsolationBySilenceEndsWithoutEngines(t *testing.T) {
	table := newSilenceTable("e")
	breakBySilence(table, start, "p")
	assert.Assert(t, table.RecordQuestion(at(500), "e", false).IsolationBegan)
	table.SetTargets([]string{"p", "q"})
	table.SetEngines(nil)
	assert.Assert(t, !table.AsksQuestions())
	table.RecordDial(at(600), "p", true)
	assert.Assert(t, table.RecordDial(at(700), "q", true).IsolationEnded)
}

// TestVMInASilenceDoesNotRelay guards against requests of others that wait for nothing.
func TestVMInASilenceDoesNotRelay(t *testing.T) {
	table := newSilenceTable("e")
	table.RecordSilence(start, "p")
	assert.Assert(t, !table.CanRelay() && !table.Isolated())
	table.RecordHeard(at(1))
	assert.Assert(t, table.CanRelay())
}

// TestSilenceOfABusyTargetIsQuestionedAtOnce guards against a sound VM that does not relay for as long as
// one slow target keeps its only request waiting.
func TestSilenceOfABusyTargetIsQuestionedAtOnce(t *testing.T) {
	table := newSilenceTable("e", "f")
	table.RecordSilence(start, "e")
	engine, due := table.NextProbe(start)
	assert.Assert(t, due && table.AsksQuestions(), "nothing would end the silence before the response")
	table.RecordHeard(at(5))
	change := table.RecordQuestion(at(5), engine, true)
	assert.Assert(t, !change.IsolationBegan && table.CanRelay() && !table.ViaRelay(at(5), "e"))
	_, due = table.NextProbe(at(600))
	assert.Assert(t, !due, "no further question while no silence is recorded")
}

// TestUnansweredQuestionsAloneDoNotIsolate guards against a VM that takes slow engines for lost paths
// while no other VM has reached a silent target.
func TestUnansweredQuestionsAloneDoNotIsolate(t *testing.T) {
	table := newSilenceTable("e", "f")
	for round := range 6 {
		table.RecordSilence(at(500*round), "p")
		engine, due := table.NextProbe(at(500 * round))
		assert.Assert(t, due)
		assert.Assert(t, !table.RecordQuestion(at(500*round+499), engine, false).IsolationBegan)
	}
	assert.Assert(t, !table.Isolated())
}
