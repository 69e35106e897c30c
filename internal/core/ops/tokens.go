package ops

import (
	"context"
	"strings"

	"hillreel/internal/core/settings"
)

// Role is the set of rights of a principal.
type Role string

// The roles.
const (
	// RoleRead may only read.
	RoleRead Role = "read"
	// RoleAll may read and change everything.
	RoleAll Role = "all"
)

// Principal is the holder of a token.
type Principal struct {
	Name string
	Role Role
}

// Token is a principal's token.
type Token struct {
	Principal
	Secret settings.Secret
}

// principalKey is the key of the principal in a request's context.
type principalKey struct{}

// PrincipalOf returns the principal of an authorized request, from the request's context.
func PrincipalOf(ctx context.Context) Principal {
	p, _ := ctx.Value(principalKey{}).(Principal)
	return p
}

// Tokens returns the tokens in the settings. Malformed tokens are skipped: loading the settings has already refused them.
func Tokens(e settings.Entry) []Token {
	out := []Token{{Principal{Name: "operator", Role: RoleAll}, e.OperatorToken}}
	for _, text := range e.OperatorTokens {
		parts := strings.SplitN(string(text), "/", 3)
		if len(parts) != 3 {
			continue
		}
		out = append(out, Token{Principal{Name: parts[0], Role: Role(parts[1])}, settings.Secret(parts[2])})
	}
	return out
}
