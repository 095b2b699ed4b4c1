package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load and the disruption of the case relay.
const (
	recordsInstances = 4
	recordsTargets   = 5
	recordsSlots     = 6
	recordsWork      = 100 * time.Millisecond
	recordsTimeout   = 6 * time.Second
	recordsPause     = 50 * time.Millisecond
	// The first instance has more callers than each of the others.
	callersOfFirst  = 20
	callersOfOthers = 3

	// A response has streamBytes, sent in streamPieces pieces with streamPause between them.
	streamBytes  = 400_000
	streamPieces = 50
	streamPause  = 12 * time.Millisecond

	rounds = 8
	// cutTime is how long a target is partitioned from one of the instances.
	cutTime = 7 * time.Second
	// unframedShare is the share of responses without a length of unframedTargets targets for
	// unframedTime, which begins cutLead after the partition.
	unframedShare   = 0.05
	unframedTargets = 2
	unframedTime    = 5 * time.Second
	cutLead         = time.Second
	// restartPause is the time after which the platform starts a process that was killed.
	restartPause = time.Second
	roundPause   = 3500 * time.Millisecond
)

// stream sends large bodies in pieces.
type stream struct {
	// halfSent is called when half of a response without a length has been sent.
	halfSent func(id, source string)
}

// streamBody returns the body of the response to a request.
func streamBody(id string) []byte {
	line := "record for " + id + "\n"
	return []byte(strings.Repeat(line, streamBytes/len(line)))
}

// send sends a response, and reports whether the connection can carry another one. An unframed response
// has no length, and ends with the connection.
func (s *stream) send(t *target, c net.Conn, id string, r *http.Response, unframed bool) bool {
	body := streamBody(id)
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	if unframed {
		r.Header.Del("Keep-Alive")
		r.Header.Set("Connection", "close")
		t.record.note("%s answers %s without a length", t.ID, id)
	} else {
		r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&head)
	head.WriteString("\r\n")
	if _, err := c.Write(head.Bytes()); err != nil {
		return false
	}
	for piece := range streamPieces {
		if unframed && piece == streamPieces/2 {
			s.halfSent(id, sourceOf(c))
		}
		from, to := len(body)*piece/streamPieces, len(body)*(piece+1)/streamPieces
		if _, err := c.Write(body[from:to]); err != nil {
			t.record.note("%s could not send all of the response to %s: %v", t.ID, id, err)
			return false
		}
		time.Sleep(streamPause)
	}
	return !unframed
}

// halfNotice says that half of a response has been sent to an address.
type halfNotice struct {
	id, source string
	at         time.Time
}

// maxNoticeAge is the age above which a notice is ignored.
const maxNoticeAge = 50 * time.Millisecond

// playRelay: an instance is partitioned from a target and reaches it through another instance, which is
// killed while it forwards a response. No caller may get a part of a response as a whole one.
func playRelay(d *deployment, trouble bool) (int, error) {
	s := service{name: "records", prefix: "/records/", kind: "download", timeout: "6000ms", aim: "2000ms", maxAttempts: 2}
	if err := d.configure(s); err != nil {
		return 0, err
	}
	if err := d.addTargets(s, recordsTargets, recordsSlots, recordsWork, 1); err != nil {
		return 0, err
	}
	notices := make(chan halfNotice, 64)
	for n, t := range d.targets {
		t.stream = &stream{halfSent: func(id, source string) {
			if n == 0 {
				select {
				case notices <- halfNotice{id, source, time.Now()}:
				default:
				}
			}
		}}
	}
	if err := d.startInstances(recordsInstances, true); err != nil {
		return 0, err
	}
	if err := d.awaitService(s); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var found mixed
	for n, i := range d.instances {
		count := callersOfOthers
		if n == 0 {
			count = callersOfFirst
		}
		for caller := range count {
			callers.Go(func() { d.readRecords(stop, fmt.Sprintf("r-%d-%d", n, caller), i, &found) })
		}
	}
	for range rounds {
		time.Sleep(roundPause)
		d.partitionAndKill(trouble, notices)
	}
	close(stop)
	callers.Wait()
	d.record.note("whole answers %d, parts that looked whole %d", found.whole, found.parts)
	return found.parts, nil
}

// partitionAndKill cuts the first target off from the first instance, and kills the instance that
// forwards a response of the target to it. Without trouble, it only waits.
func (d *deployment) partitionAndKill(trouble bool, notices <-chan halfNotice) {
	end := time.After(cutTime)
	if !trouble {
		<-end
		return
	}
	cutOff := d.instances[0]
	d.record.note("%s is cut off from %s", d.targets[0].ID, cutOff.name)
	d.targets[0].cut(cutOff.source)
	defer func() {
		d.targets[0].cut("")
		d.record.note("the cut heals")
	}()
	defer time.AfterFunc(cutLead, func() { d.sendUnframed(unframedShare) }).Stop()
	defer time.AfterFunc(cutLead+unframedTime, func() { d.sendUnframed(0) }).Stop()
	for {
		select {
		case <-end:
			return
		case notice := <-notices:
			relay := d.instanceAt(notice.source)
			if !strings.HasPrefix(notice.id, "r-0-") || relay == nil || relay == cutOff || time.Since(notice.at) > maxNoticeAge {
				continue
			}
			d.record.note("%s is killed while it forwards the response to %s", relay.name, notice.id)
			relay.kill()
			time.Sleep(restartPause)
			if err := d.start(relay); err != nil {
				d.record.note("%v", err)
			}
			<-end
			return
		}
	}
}

// sendUnframed sets the share of responses without a length of the disturbed targets.
func (d *deployment) sendUnframed(share float64) {
	d.record.note("share of responses without a length: %v", share)
	for _, t := range d.targets[:unframedTargets] {
		t.setFaults(faults{unframed: share})
	}
}

// instanceAt returns the instance that connects to targets from an address.
func (d *deployment) instanceAt(source string) *instance {
	for _, i := range d.instances {
		if i.source == source {
			return i
		}
	}
	return nil
}

// mixed counts the answers that callers took for whole.
type mixed struct {
	mu           sync.Mutex
	whole, parts int
}

// readRecords sends requests one after the other, each on a connection of its own.
func (d *deployment) readRecords(stop <-chan struct{}, caller string, i *instance, found *mixed) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(recordsPause):
		}
		r := callerRequest{id: fmt.Sprintf("%s-%d", caller, n), path: "/records/week", method: http.MethodGet, key: -1, timeout: recordsTimeout}
		a, err := d.sendOnce(i, r)
		if err != nil || a.status != http.StatusOK {
			continue
		}
		whole := streamBody(r.id)
		found.mu.Lock()
		if bytes.Equal(a.received, whole) {
			found.whole++
		} else {
			found.parts++
			d.record.note("MIXED: %s got status 200, signed %t, with %d bytes of the target's %d", r.id, a.signed, len(a.received), len(whole))
		}
		found.mu.Unlock()
	}
}
