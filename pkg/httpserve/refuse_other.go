//go:build !linux

package httpserve

import "errors"

// refuseNew is not supported, see the variant for Linux.
func (l *listener) refuseNew() error { return errors.ErrUnsupported }
