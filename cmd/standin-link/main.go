// Command standin-link forwards TCP connections for tests. To simulate network
// failures, it can drop the bytes of either direction without closing the connection,
// or those of all connections that are open at that time.
package main

import (
	"context"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/standin"
)

func main() {
	var settings standin.LinkSettings
	daemon.Main("standin-link", "Forwards TCP connections for tests and interrupts them on request.", &settings, func(ctx context.Context) error {
		links := map[string]*standin.Link{}
		for _, link := range settings.Links {
			listener, err := daemon.Listen(ctx, link.Listen)
			if err != nil {
				return err
			}
			links[link.Name] = standin.NewLink(link.Target)
			go links[link.Name].Serve(ctx, listener)
		}
		if err := daemon.ServeHTTP(ctx, settings.Admin, standin.LinkAdmin(links)); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}
