/*
Package cthttp contains the helpers of the system's HTTP interfaces: it decodes and
encodes JSON bodies on the server side and calls the interfaces on the client side.

# Errors

An error response contains a JSON object with the fields kind, message and remedy, as
in cterror. The kind determines the status code.

# Usage

	if err := cthttp.ReadJSON(w, r, &announcement); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	cthttp.WriteJSON(w, http.StatusOK, answer)
*/
package cthttp
