package main

import (
	"fmt"
	"time"
)

// playStorePassed lets the store come back from a copy that lacks the last two versions of the
// configuration. An evacuation that the operator could not write while the store was away is
// accepted at its return, and the operator's last version is written again. The store's
// revision then is the one that it had before.
func playStorePassed(w *world) (string, error) {
	w.addFrontend(0, 1, true)
	w.addFrontend(0, 2, false)
	w.addFrontend(1, 1, true)
	w.addFrontend(2, 1, true)
	for zone := range zones {
		for n := range 3 {
			m := w.addSide(zone, 11+n, "desk")
			if _, err := w.addEndpoint(m, fmt.Sprintf("i-%s-%d", zones[zone], n), 0); err != nil {
				return "", err
			}
		}
	}
	version := 7
	write := func() bool {
		return w.writeConfig(version, []route{
			{deskAddress, "desk", 1500 + version},
			{sheetAddress, "desk", 1500 + version},
		}, services)
	}
	write()
	if err := w.start(); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	stop := make(chan struct{})
	clients, err := w.startClients(stop, 4)
	if err != nil {
		return "", err
	}

	time.Sleep(2 * time.Second)
	old := w.store.copy()
	w.record("a copy of the store is made at revision %d", old.revision)
	for _, pause := range []time.Duration{time.Second, 2 * time.Second} {
		time.Sleep(pause)
		version += 3
		write()
	}
	time.Sleep(200 * time.Millisecond)
	before := w.store.currentRevision()
	if w.trouble {
		w.record("the store is away at revision %d", before)
		w.store.setAway(true)
		time.Sleep(300 * time.Millisecond)
		w.store.restore(old)
		w.record("the store is back from the copy at revision %d, in the next era", w.store.currentRevision())
	}
	revision, ok := w.store.put("op/evacuate/"+zones[0], []byte("{}"))
	evacuated := time.Now()
	w.record("operator writes op/evacuate/%s: accepted %v, revision %d", zones[0], ok, revision)
	if w.trouble {
		// What the operator wrote is written again.
		write()
	}

	time.Sleep(16 * time.Second)
	close(stop)
	clients.Wait()
	w.checkEvacuated(0, evacuated)

	return "EVAC", nil
}

// checkEvacuated checks that no flow opened in a zone later than evacuateTime after its
// evacuation was acknowledged.
func (w *world) checkEvacuated(zone int, at time.Time) {
	w.mu.Lock()
	openings := w.openings
	w.mu.Unlock()
	for _, o := range openings {
		if late := o.arrived.Sub(at); o.endpoint.machine.zone == zone && late > evacuateTime {
			w.violate("EVAC", "flow %v through %s reached %s in %s %.1f s after the evacuation was acknowledged", o.key, o.entry.name,
				o.endpoint.id, zones[zone], late.Seconds())
		}
	}
}
