package site

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/version/deployment"
	"papayaport.dev/serving/version/service"
)

// requestBurst is the burst of a request rate limit, as the time that accrues it. A configuration
// sets a burst for tokens only.
const requestBurst = time.Second

// adopt puts a configuration into force unless the version in force is at least as high.
func (s *Site) adopt(raw []byte, source string) {
	s.configurationBytes.Store(int64(len(raw)))
	if bytes.Equal(raw, s.keeper.Raw()) {
		return
	}
	start := time.Now()
	log := s.logger("configuration").WithField("source", source)
	decoded, err := s.platform.Viewer.Decode(raw)
	if err != nil {
		log.WithError(err).Error("configuration: can't be decoded, the version in force stays")
		return
	}
	version, before := deployment.New(decoded), s.keeper.Current()
	if !s.keeper.Adopt(deployment.Snapshot{Version: version, Raw: raw}) {
		return
	}
	s.configurationDigest.Store(xxhash.Sum64(raw))
	s.archive.Add(version.Version, raw)
	s.distribution.SetHeld(version.Version)
	logLimits(log, before, version)
	s.admission.SetServices(time.Now(), version.Version, s.partLimits(version))
	s.quota.SetLimits(time.Now(), version.Version, s.poolLimits(version))
	for _, account := range version.Accounts {
		s.members.RegisterNames(accountsService + "/" + account.Name)
	}
	s.updateGossip(time.Now())
	s.checkStarted()
	log.WithFields(logrus.Fields{
		"version": version.Version, "routes": len(version.Routes), "accounts": len(version.Accounts),
		"bytes": len(raw), "decode_ms": time.Since(start).Milliseconds(),
	}).Info("configuration: in force")
}

// logLimits logs each client account whose limit differs from the previous version.
func logLimits(log *logrus.Entry, before, now *deployment.Version) {
	type limit struct{ tokens, burst, requests float64 }
	known := map[string]limit{}
	if before != nil {
		for _, a := range before.Accounts {
			known[a.Name] = limit{a.TokensPerSecond, a.TokenBurst, a.RequestsPerSecond}
		}
	}
	for _, a := range now.Accounts {
		l := limit{a.TokensPerSecond, a.TokenBurst, a.RequestsPerSecond}
		if old, found := known[a.Name]; found && old == l {
			continue
		}
		log.WithFields(logrus.Fields{
			"account": a.Name, "version": now.Version, "tokens_per_second": l.tokens, "token_burst": l.burst,
			"requests_per_second": l.requests,
		}).Info("configuration: limit of an account")
	}
}

// partLimits returns the limits of client accounts as one service file, since they apply to all
// services together.
func (s *Site) partLimits(version *deployment.Version) []*service.File {
	file := &service.File{Name: accountsService, Queue: service.Queue{MaxRequests: 1}}
	for _, account := range version.Accounts {
		file.Accounts = append(file.Accounts, service.Account{
			Name: account.Name, RequestsPerSecond: account.RequestsPerSecond, TokensPerSecond: account.TokensPerSecond,
			TokenBurst: s.settings.Quota.burst(account.TokensPerSecond, account.TokenBurst),
		})
	}
	return []*service.File{file}
}

// poolLimits returns the limits of client accounts for pools.
func (s *Site) poolLimits(version *deployment.Version) []quota.Limit {
	limits := make([]quota.Limit, len(version.Accounts))
	for i, a := range version.Accounts {
		limits[i] = quota.Limit{
			Account:   a.Name,
			PerSecond: quota.Amount{Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond},
			Burst: quota.Amount{
				Requests: a.RequestsPerSecond * requestBurst.Seconds(), Tokens: s.settings.Quota.burst(a.TokensPerSecond, a.TokenBurst),
			},
			MaxDebt:         quota.Amount{Tokens: s.settings.Quota.debt(a.TokensPerSecond, a.TokenBurst)},
			StartCredit:     quota.Amount{Tokens: s.settings.Quota.start(a.TokensPerSecond, a.TokenBurst)},
			RemainderCredit: quota.Amount{Tokens: s.settings.Quota.remainder(a.TokensPerSecond, a.TokenBurst)},
		}
	}
	return limits
}
