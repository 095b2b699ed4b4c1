package rulestore_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/state/rulestore"
)

func TestRulestore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Rulestore")
}

var _ = Describe("an evacuation", func() {
	It("is in force until it is ended, no matter how often either is requested", func() {
		server := httptest.NewServer(standin.NewStore().Handler())
		DeferCleanup(server.Close)
		s := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		ctx := context.Background()
		evacuated := func() (list []string) {
			rows, _, err := s.Scan(ctx, rulestore.Table, "")
			Expect(err).NotTo(HaveOccurred())
			for _, row := range rows {
				if dataCentre, ok := rulestore.EvacuatedDataCentre(row); ok {
					list = append(list, dataCentre)
				}
			}
			return list
		}
		for range 2 {
			Expect(rulestore.SetEvacuated(ctx, s, "dc1", true)).To(Succeed())
			Expect(evacuated()).To(Equal([]string{"dc1"}))
		}
		Expect(rulestore.SetEvacuated(ctx, s, "dc2", false)).To(Succeed())
		for range 2 {
			Expect(rulestore.SetEvacuated(ctx, s, "dc1", false)).To(Succeed())
			Expect(evacuated()).To(BeEmpty())
		}
		Expect(rulestore.SetEvacuated(ctx, s, "", true)).To(MatchError(rulestore.ErrInvalid))
	})
})

var _ = Describe("a change of the rules", func() {
	// Guards against a change that instances ignore as outdated, because a store that was restored from a
	// backup contains an older version than the one in force.
	It("gets a version above the one in force if the store contains an older one", func() {
		stored := standin.NewStore()
		server := httptest.NewServer(stored.Handler())
		DeferCleanup(server.Close)
		s := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
		ctx := context.Background()
		Expect(rulestore.Apply(ctx, s, 0, rulestore.Record{})).To(Equal(uint64(1)))
		stored.TakeBackup()
		Expect(rulestore.Apply(ctx, s, 1, rulestore.Record{})).To(Equal(uint64(2)))
		stored.RestoreBackup()
		Expect(rulestore.Apply(ctx, s, 1, rulestore.Record{Version: 3})).To(Equal(uint64(3)))
		current, err := rulestore.Current(ctx, s)
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Version).To(Equal(uint64(3)))
	})
})
