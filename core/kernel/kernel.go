// Package kernel is the service registry of every program. Services register under unique
// names, look each other up by name, run concurrently and stop together.
package kernel

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Sentinel errors of this package.
const (
	ErrNotFound  = errors.ConstError("no such service")
	ErrWrongType = errors.ConstError("service has a different type")
	ErrDuplicate = errors.ConstError("service name already registered")
)

// Runner is a service with its own goroutine. Run returns when ctx is done or when the
// service can't continue. In both cases all services stop.
type Runner interface {
	Run(ctx context.Context) error
}

// Kernel holds the services of one process. The zero value is ready to use. Its methods are
// safe for concurrent use.
type Kernel struct {
	mu       sync.Mutex
	services map[string]any
	// names are the names of the services in the order of their registration.
	names []string
}

// Register adds a service under a unique name. Error: ErrDuplicate.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.services == nil {
		k.services = map[string]any{}
	}
	if _, ok := k.services[name]; ok {
		return errors.Annotate(ErrDuplicate, name)
	}
	k.services[name] = service
	k.names = append(k.names, name)

	return nil
}

// Service is a service and the name under which Find returns it.
type Service struct {
	Name  string
	Value any
}

// RegisterAll adds services in order and stops at the first one that fails. Error:
// ErrDuplicate.
func (k *Kernel) RegisterAll(services ...Service) error {
	for _, s := range services {
		if err := k.Register(s.Name, s.Value); err != nil {
			return err
		}
	}

	return nil
}

// Find returns the service registered under name. Errors: ErrNotFound, ErrWrongType.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T

	k.mu.Lock()
	defer k.mu.Unlock()

	s, ok := k.services[name]
	if !ok {
		return zero, errors.Annotate(ErrNotFound, name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.Annotate(ErrWrongType, name)
	}

	return t, nil
}

// Run runs all services that implement Runner until one returns, then stops the others and
// waits for them. It returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	g := &errgroup.Group{}
	for name, r := range k.runners() {
		g.Go(func() error {
			defer cancel()

			return errors.Annotate(r.Run(ctx), name)
		})
	}

	return g.Wait()
}

func (k *Kernel) runners() map[string]Runner {
	k.mu.Lock()
	defer k.mu.Unlock()

	m := map[string]Runner{}
	for _, n := range k.names {
		if r, ok := k.services[n].(Runner); ok {
			m[n] = r
		}
	}

	return m
}
