package daemon

import (
	"context"
	"io"
)

// minRead is the size of the first buffer of a body of unknown length, in bytes, and of the
// only one if there is no memory.
const minRead = 4 << 10

// ReadPart reads up to limit bytes and one more of a body whose announced length is -1 if
// unknown, or fewer if the Hold gets no memory for them. It waits for none. whole reports
// whether that is all, charged what the Hold has been charged with.
func (h *Hold) ReadPart(body io.Reader, length int64, limit int) (content []byte, whole bool, charged int, err error) {
	size := minRead
	if length >= 0 {
		size = int(min(length, int64(limit))) + 1 // one more byte shows the end
	}
	if h.TryReserve(size) {
		charged = size
	} else {
		size = min(size, minRead)
	}
	content = make([]byte, 0, size)
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, true, charged, nil
		}
		if err != nil {
			return nil, false, charged, err
		}
		if len(content) < cap(content) {
			continue
		}
		next := min(2*cap(content), limit+1)
		if next == cap(content) || charged == 0 || !h.TryReserve(next) {
			return content, false, charged, nil
		}
		grown := append(make([]byte, 0, next), content...)
		h.Release(charged)
		content, charged = grown, next
	}
}

// ReadWhole reads a body of at most limit bytes to its end, in one buffer that grows as bytes
// arrive. It waits for memory until ctx ends, and fails with Refused if there is none. The
// body must fail by itself if it is longer.
func (h *Hold) ReadWhole(ctx context.Context, body io.Reader, limit int) ([]byte, error) {
	size := min(minRead, limit+1) // one more byte shows the end
	if err := h.Reserve(ctx, size); err != nil {
		return nil, err
	}
	content := make([]byte, 0, size)
	for {
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, err
		case len(content) > limit:
			return nil, io.ErrShortBuffer
		case len(content) < cap(content):
			continue
		}
		next := min(2*cap(content), limit+1)
		if err := h.Reserve(ctx, next); err != nil {
			return nil, err
		}
		grown := append(make([]byte, 0, next), content...)
		h.Release(cap(content))
		content = grown
	}
}
