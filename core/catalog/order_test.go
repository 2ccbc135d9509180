package catalog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writtenAt returns a configuration that a listing tells of.
func writtenAt(era, revision, version uint64) *Config {
	return &Config{
		Version: version,
		Written: Position{
			Era:      era,
			Revision: revision,
		},
	}
}

// certain returns a configuration that a watch tells of.
func certain(era, revision, version uint64) *Config {
	c := writtenAt(era, revision, version)
	c.EraCertain = true

	return c
}

// Guards against processes that keep a configuration for ever, go back to an older one, or
// disagree, because they order two configurations differently or by the number alone.
func TestOrderOfConfigs(t *testing.T) {
	for name, c := range map[string]struct {
		later, earlier *Config
	}{
		"next version": {
			later:   certain(1, 12, 9),
			earlier: certain(1, 10, 7),
		},
		"lower number, one era": {
			later:   certain(1, 12, 3),
			earlier: certain(1, 10, 7),
		},
		"lower number, listed": {
			later:   writtenAt(1, 12, 3),
			earlier: writtenAt(1, 10, 7),
		},
		"equal number, one era": {
			later:   certain(1, 12, 7),
			earlier: certain(1, 10, 7),
		},
		"copy without the newest version": {
			later:   certain(1, 10, 9),
			earlier: writtenAt(2, 8, 7),
		},
		"copy, later revision": {
			later:   certain(2, 10, 9),
			earlier: writtenAt(3, 20, 7),
		},
		"next version after a return": {
			later:   writtenAt(2, 9, 11),
			earlier: certain(1, 10, 9),
		},
		"number used again after a return": {
			later:   writtenAt(2, 9, 9),
			earlier: certain(1, 10, 9),
		},
		"lower number after a return, watch": {
			later:   certain(2, 9, 8),
			earlier: certain(1, 10, 9),
		},
		"the same write, told by a watch": {
			later:   certain(2, 9, 8),
			earlier: writtenAt(2, 9, 8),
		},
		"two writes told at one position": {
			later:   writtenAt(1, 9, 11),
			earlier: certain(1, 9, 8),
		},
		"source behind by an era": {
			later:   certain(2, 9, 8),
			earlier: writtenAt(1, 10, 9),
		},
		"peer without positions, next": {
			later:   writtenAt(0, 0, 9),
			earlier: certain(2, 10, 7),
		},
		"peer without positions, behind": {
			later:   certain(2, 10, 9),
			earlier: writtenAt(0, 0, 7),
		},
		"peer without positions, same number": {
			later:   writtenAt(2, 10, 9),
			earlier: writtenAt(0, 0, 9),
		},
		"store without eras": {
			later:   certain(0, 12, 7),
			earlier: writtenAt(0, 10, 9),
		},
		"store that begins to tell its era": {
			later:   certain(1, 13, 7),
			earlier: certain(0, 12, 9),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.later.Supersedes(c.earlier))
			is.True(!c.earlier.Supersedes(c.later))
			is.True(!c.later.Supersedes(c.later))
		})
	}
	is := is.New(t)
	is.True(!writtenAt(0, 0, 9).Supersedes(writtenAt(0, 0, 9)))
}

// Guards against a later write of the store that is not taken, and against one that is taken but
// not reported, or reported although only its position is new.
func TestLaterWriteIsTaken(t *testing.T) {
	is := is.New(t)
	s := newState()
	take := func(c *Config) bool {
		return s.Apply(0, ConfigChange{
			Config: c,
		})
	}
	is.True(take(certain(1, 10, 9)))
	is.True(take(certain(1, 12, 8)))
	other := certain(1, 13, 8)
	other.IdleTime = time.Second
	is.True(take(other))
	is.Equal(s.Config().IdleTime, time.Second)
	is.True(!take(certain(1, 10, 9)))
	is.Equal(s.OlderConfig().Version, uint64(9))
	again := writtenAt(2, 13, 8)
	again.IdleTime = time.Second
	is.True(!take(again))
	is.Equal(s.Config().Written.Era, uint64(2))
}

// configStore is a store of one configuration that comes back from copies.
type configStore struct {
	era, revision uint64
	// value has the time of its first write as IdleTime.
	value  Config
	copies []configStore
}

// listed returns what a listing tells.
func (s *configStore) listed() *Config {
	c := s.value
	c.Written.Era = s.era
	c.EraCertain = false

	return &c
}

// Guards against a process that goes back to an older configuration, or that lacks the newest one
// after it was told of the newest, in any order of writes, returns of the store from copies, listings,
// watches, starts and configurations learned from each other. Numbers rise if the store returns,
// and operators write again what a copy lacks; otherwise numbers are random.
func TestOrderAcrossReturns(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(39, seed))
		returns := seed%2 == 0
		store := configStore{
			era: 1,
		}
		newest, version := Config{}, uint64(0)
		states := make([]State, 4)
		write := func() {
			store.revision += 1 + random.Uint64N(3)
			store.value = newest
			store.value.Written = Position{
				Era:      store.era,
				Revision: store.revision,
			}
			store.value.EraCertain = true
		}
		for step := range 60 {
			n := random.IntN(len(states))
			told := (*Config)(nil)
			switch random.IntN(6) {
			case 0:
				version += 1 + random.Uint64N(3)
				if !returns {
					version = random.Uint64N(10)
				}
				newest = Config{
					Version:  version,
					IdleTime: time.Duration(1 + step),
				}
				write()
				// A watch of the same era tells only some processes.
				told = &store.value
			case 1:
				store.copies = append(store.copies, store)
			case 2:
				if len(store.copies) == 0 || !returns {
					continue
				}
				era := store.era + 1
				copies := store.copies
				store = copies[random.IntN(len(copies))]
				store.era, store.copies = era, copies
			case 3:
				if newest.IdleTime > 0 {
					write()
					told = &store.value
				}
			case 4:
				states[n] = State{}
			case 5:
				told = states[random.IntN(len(states))].Config()
			}
			if told == nil && store.value.IdleTime > 0 {
				told = store.listed()
			}
			if told == nil {
				continue
			}
			before, c := states[n].Config(), *told
			states[n].Apply(0, ConfigChange{
				Config: &c,
			})
			after := states[n].Config()
			if before != nil && after.IdleTime < before.IdleTime {
				t.Fatalf("seed %d, step %d: %+v after %+v", seed, step, after, before)
			}
			if told.IdleTime == newest.IdleTime && after.IdleTime != newest.IdleTime {
				t.Fatalf("seed %d, step %d: told of %+v, in force is %+v", seed, step, told, after)
			}
		}
	}
}
