package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// call sends a client's request to an entry over a new connection and returns the status, 0 if
// there is no response.
func (f *fleet) call(entry int, method, path, body string) (int, map[string]any) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return f.callWith(&client, entry, method, path, body)
}

// callWith is call with a client that may have an open connection.
func (f *fleet) callWith(client *http.Client, entry int, method, path, body string) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+f.callers[entry]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fail(err.Error())
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	f.log("client to front-%d: %s %s %s", entry+1, method, path, body)
	resp, err := client.Do(req)
	if err != nil {
		f.log("client: no response to %s %s: %v", method, path, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	f.log("client: %s %s -> %d %s", method, path, resp.StatusCode, data)
	var values map[string]any
	if err != nil || json.Unmarshal(data, &values) != nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, values
}

// submit hands in a job of one task that needs a worker with a label. The task lasts if its spec
// names no run time.
func (f *fleet) submit(id, label, spec string) int {
	lasts := ""
	if workOf(spec) == 0 {
		lasts = `,"long_running":true`
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":240,"mem_mb":480,"estimate_ms":800,"requires":%q%s}]}`, spec, label, lasts)
	status, _ := f.call(0, http.MethodPost, prefix+id, body)
	return status
}

// state returns the state that a job is shown in, empty if there is none.
func (f *fleet) state(id string) string {
	_, values := f.call(len(f.callers)-1, http.MethodGet, prefix+id, "")
	s, _ := values["state"].(string)
	return s
}

// setUnhealthy makes a worker refuse orders to start, or ends that.
func (f *fleet) setUnhealthy(i int, on bool) {
	f.log("worker-%d unhealthy: %v", i+1, on)
	resp, err := http.Post(fmt.Sprintf("http://%s/unhealthy?on=%v", f.workerAddrs[i], on), "", nil)
	if err != nil {
		f.close()
		fail(err.Error())
	}
	resp.Body.Close()
}
