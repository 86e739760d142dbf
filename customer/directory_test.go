package customer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"lentillink.example/lentillink/customer"
)

func newDirectory() *customer.Directory {
	return customer.NewDirectory([]customer.Customer{
		{Name: "nyla", Keys: []string{"k-nyla-1", "k-nyla-2"}, Priority: 1, RatePerS: 5, Burst: 7},
		{Name: "fuge", Keys: []string{"k-fuge", "k-shared"}},
		{Name: "kadu", Keys: []string{"k-shared", "", " ", "with space"}},
		{Name: "lope", Keys: []string{"k-shared"}},
	})
}

// TestFind guards against a request that is counted for a customer that does not have its
// key.
func TestFind(t *testing.T) {
	tests := []struct{ name, key, want string }{
		{"first key", "k-nyla-1", "nyla"},
		{"second key", "k-nyla-2", "nyla"},
		{"other customer", "k-fuge", "fuge"},
		{"unknown", "k-nyla-3", ""},
		{"other letter case", "K-NYLA-1", ""},
		{"beginning of a key", "k-nyla", ""},
		{"key of several customers", "k-shared", ""},
		{"empty", "", ""},
		{"invalid", customer.InvalidKey, ""},
		{"with a space", "with space", ""},
		{"name in place of a key", "nyla", ""},
		{"long", strings.Repeat("k", 1<<16), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if c, ok := newDirectory().Find(tt.key); ok {
				got = c.Name
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestNamed guards against a customer with the limits of another one.
func TestNamed(t *testing.T) {
	d := newDirectory()
	if c, ok := d.Named("nyla"); !ok || c.Priority != 1 || c.RatePerS != 5 || c.Burst != 7 {
		t.Errorf("got %v, %t, want nyla with its limits", c, ok)
	}
	if _, ok := d.Named("k-nyla-1"); ok {
		t.Error("got a customer for a key, want none")
	}
	var names []string
	for _, c := range d.All() {
		names = append(names, c.Name)
	}
	if got, want := fmt.Sprint(names), "[fuge kadu lope nyla]"; got != want || d.Len() != 4 {
		t.Errorf("got %s, %d, want %s", got, d.Len(), want)
	}
}

// TestKeysNotPrinted guards against keys in log lines and dumps.
func TestKeysNotPrinted(t *testing.T) {
	list := []customer.Customer{{Name: "nyla", Keys: []string{"k-nyla-1"}}}
	d := customer.NewDirectory(list)
	c, _ := d.Find("k-nyla-1")
	for _, v := range []any{list, list[0], &list[0], d, *d, c, *c, d.All(), struct{ Customers []customer.Customer }{list}} {
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
			text := fmt.Sprintf(verb, v)
			if strings.Contains(text, "k-nyla-1") || strings.Contains(text, fmt.Sprintf("%x", "k-nyla-1")) {
				t.Errorf("%T with %s: got the key in %q", v, verb, text)
			}
		}
	}
	if len(c.Keys) != 0 {
		t.Error("got the keys of a customer that was found, want none")
	}
}

// FuzzFind guards against a panic, and against a customer for a key that it does not have.
func FuzzFind(f *testing.F) {
	f.Add("k-nyla-1")
	f.Add("\x00\xff")
	f.Fuzz(func(t *testing.T, key string) {
		c, ok := newDirectory().Find(key)
		if known := strings.HasPrefix(key, "k-nyla-") || key == "k-fuge"; ok != (c != nil) || ok && !known {
			t.Errorf("got %v, %t for %q", c, ok, key)
		}
	})
}

const manyKeys = 10_000

func newLargeDirectory() *customer.Directory {
	list := make([]customer.Customer, manyKeys/10)
	for i := range manyKeys {
		c := &list[i/10]
		c.Name = fmt.Sprint("customer-", i/10)
		c.Keys = append(c.Keys, fmt.Sprintf("key-%016d", i))
	}
	return customer.NewDirectory(list)
}

// TestFindAllocations guards against memory that each look-up takes.
func TestFindAllocations(t *testing.T) {
	d := newLargeDirectory()
	if got := testing.AllocsPerRun(100, func() { d.Find("key-0000000000004711") }); got != 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}

func BenchmarkFind(b *testing.B) {
	d := newLargeDirectory()
	for _, key := range []string{"key-0000000000004711", "key-unknown"} {
		b.Run(key, func(b *testing.B) {
			for b.Loop() {
				d.Find(key)
			}
		})
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	keys := make([]string, manyKeys)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%016d", i)
	}
	for b.Loop() {
		customer.NewDirectory([]customer.Customer{{Name: "a", Keys: keys}})
	}
}

// FuzzKeyIn guards against a key with characters that no key has, and against one that the
// values do not hold.
func FuzzKeyIn(f *testing.F) {
	f.Add("Token a", "Token b")
	f.Add("token\ta", "")
	f.Fuzz(func(t *testing.T, first, second string) {
		key := customer.KeyIn("Token", []string{first, second})
		if key == "" || key == customer.InvalidKey {
			return
		}
		if bytes.ContainsAny([]byte(key), " \t") || !strings.Contains(first+second, key) {
			t.Errorf("got %q from %q and %q", key, first, second)
		}
	})
}

// TestKeyIn guards against a caller that is taken for another one, and against a scheme or
// a form of the credentials that is not accepted.
func TestKeyIn(t *testing.T) {
	tests := []struct {
		name   string
		values []string
		want   string
	}{
		{"none", nil, ""},
		{"key", []string{"Token abc"}, "abc"},
		{"scheme in lower case", []string{"token abc"}, "abc"},
		{"scheme in upper case", []string{"TOKEN abc"}, "abc"},
		{"several spaces", []string{"  Token   abc \t"}, "abc"},
		{"key twice", []string{"Token abc", "token abc"}, "abc"},
		{"two keys", []string{"Token abc", "Token def"}, customer.InvalidKey},
		{"two keys in a list", []string{"Token abc, Token def"}, customer.InvalidKey},
		{"a list without a space", []string{"Token abc,Token def"}, customer.InvalidKey},
		{"letter case of the key", []string{"Token abc", "Token ABC"}, customer.InvalidKey},
		{"scheme alone", []string{"Token"}, customer.InvalidKey},
		{"empty key", []string{"Token  "}, customer.InvalidKey},
		{"tab in the key", []string{"Token a\tb"}, customer.InvalidKey},
		{"other scheme", []string{"Basic abc"}, ""},
		{"beginning of the scheme", []string{"Tok abc"}, ""},
		{"other scheme before", []string{"Basic xyz", "Token abc"}, "abc"},
		{"empty value", []string{""}, ""},
		{"key without a scheme", []string{"abc"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := customer.KeyIn("Token", tt.values); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
