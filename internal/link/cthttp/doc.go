/*
Package cthttp reads and writes the JSON of the system's HTTP interfaces.

# Errors

An error is a JSON object with the fields kind, message and remedy. Its status
code follows from its kind.

# Usage

	if err := cthttp.Read(w, r, &announcement); err != nil {
		cthttp.Fail(w, err)
		return
	}
	cthttp.Write(w, http.StatusOK, answer)
*/
package cthttp
