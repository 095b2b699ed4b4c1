package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Security configures how instances authenticate one another.
type Security struct {
	// Secret is shared by all instances. If it is empty, calls from any process that can reach the
	// port are accepted.
	Secret string
	// TLS encrypts connections. If it is nil, they are not encrypted.
	TLS *tls.Config
}

// secureClient encrypts and authenticates an outgoing connection.
func (s Security) secureClient(conn net.Conn) (net.Conn, error) {
	if s.TLS != nil {
		host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			return nil, fmt.Errorf("peers: remote address: %w", err)
		}
		cfg := s.TLS.Clone()
		cfg.ServerName = host
		conn = tls.Client(conn, cfg)
	}
	if s.Secret == "" {
		return conn, nil
	}
	return conn, handshake(conn, s.Secret, clientRole, serverRole)
}

// secureServer encrypts and authenticates an accepted connection.
func (s Security) secureServer(conn net.Conn) (net.Conn, error) {
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	if s.Secret == "" {
		return conn, nil
	}
	return conn, handshake(conn, s.Secret, serverRole, clientRole)
}

// ErrAuth means that the remote end does not know the shared secret.
var ErrAuth = errors.New("peers: the remote end does not know the shared secret")

const (
	// challengeBytes is the length of a challenge in bytes.
	challengeBytes = 32
	// handshakeTimeout limits how long a process that is not authenticated can keep a connection open.
	handshakeTimeout = 2 * time.Second

	serverRole = "lycheehall server"
	clientRole = "lycheehall client"
)

// proof returns one end's proof that it knows the secret. It covers the role, so that it cannot be
// reflected to its sender, and both challenges, so that it cannot be replayed on another connection.
func proof(secret, role string, server, client []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(role))
	mac.Write(server)
	mac.Write(client)
	return mac.Sum(nil)
}

// handshake authenticates both ends of a connection by challenge and response. It must be called at
// both ends, with their roles exchanged.
func handshake(conn net.Conn, secret, localRole, remoteRole string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("peers: handshake: %w", err)
	}
	localChallenge := make([]byte, challengeBytes)
	rand.Read(localChallenge)
	if _, err := conn.Write(localChallenge); err != nil {
		return fmt.Errorf("peers: handshake: send challenge: %w", err)
	}
	remoteChallenge := make([]byte, challengeBytes)
	if _, err := io.ReadFull(conn, remoteChallenge); err != nil {
		return fmt.Errorf("peers: handshake: receive challenge: %w", err)
	}
	server, client := localChallenge, remoteChallenge
	if localRole == clientRole {
		server, client = remoteChallenge, localChallenge
	}
	if _, err := conn.Write(proof(secret, localRole, server, client)); err != nil {
		return fmt.Errorf("peers: handshake: send proof: %w", err)
	}
	remoteProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, remoteProof); err != nil {
		return fmt.Errorf("peers: handshake: receive proof: %w", err)
	}
	if !hmac.Equal(remoteProof, proof(secret, remoteRole, server, client)) {
		return ErrAuth
	}
	return conn.SetDeadline(time.Time{})
}
