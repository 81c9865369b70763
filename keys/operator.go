package keys

import (
	"crypto/ed25519"
	"crypto/pbkdf2"
	"crypto/sha256"
	"encoding/hex"
)

// derivationIterations is the number of PBKDF2 iterations. It slows down guessing the
// credential from the public key.
const derivationIterations = 100_000

const derivationSalt = "lacewingmount operator credential"

// Operator signs messages on behalf of the operators of one partner. Its Ed25519 key
// is derived from the credential, which is never stored or sent.
type Operator struct {
	private ed25519.PrivateKey
}

// NewOperator returns an Operator with the key derived from credential.
func NewOperator(credential string) (Operator, error) {
	seed, err := pbkdf2.Key(sha256.New, credential, []byte(derivationSalt), derivationIterations, ed25519.SeedSize)
	if err != nil {
		return Operator{}, err
	}
	return Operator{private: ed25519.NewKeyFromSeed(seed)}, nil
}

// Public returns the public key in hexadecimal.
func (o Operator) Public() string {
	return hex.EncodeToString(o.private.Public().(ed25519.PublicKey))
}

// Sign returns the Ed25519 signature of message.
func (o Operator) Sign(message []byte) []byte { return ed25519.Sign(o.private, message) }

// Verify reports whether signature is a valid signature of message for the public key,
// which is in hexadecimal.
func Verify(public string, message, signature []byte) bool {
	key, err := hex.DecodeString(public)
	return err == nil && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, signature)
}
