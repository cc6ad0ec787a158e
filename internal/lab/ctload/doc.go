/*
Package ctload puts load on a proxy, or straight on a backend server, and
measures it.

# Open and closed loops

With a rate, requests start at fixed times whether or not earlier ones have
ended, and a request's time counts from when it should have started; a slow
server then can't hide behind a load that waits for it. Without a rate, each
session sends its next request when the last one has ended.

# Usage

	options := ctload.Options{Addresses: addresses, Groups: groups, Sessions: 20, For: 5 * time.Second}
	result, err := ctload.Run(ctx, options)
	fmt.Println(result.Table())
	fmt.Println(ctload.Compare(earlier, result))
*/
package ctload
