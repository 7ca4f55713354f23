#!/usr/bin/env bash
# Installs what is missing, builds, and serves one job end to end on loopback: a stand-in discovery and worker of
# a few lines stand beside the program. Everything that it starts it ends.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
if ! command -v cmake >/dev/null || ! command -v g++ >/dev/null || ! command -v python3 >/dev/null ||
  ! command -v curl >/dev/null || ! dpkg -s $packages >/dev/null 2>&1; then
  apt-get update -q && apt-get install -qy g++ cmake make python3 curl $packages
fi
cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null && cmake --build build -j4 >/dev/null

folder=$(mktemp -d)
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; rm -rf "$folder"' EXIT
cat >"$folder/peers.py" <<'PY'
import http.server, json, threading, time, urllib.request
WORKER, DISCOVERY, PROGRAM = 18081, 18082, 18080
class Peer(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def log_message(self, *_): pass
    def answer(self, status, body=b""):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
class Worker(Peer):
    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        job = self.headers["Req-Id"]
        self.answer(202)
        threading.Timer(0.2, self.done, [job]).start()
    def done(self, job):
        news = {"id": job, "from": "w1", "state": "done", "result": "done: " + job + "\n", "load": {"queue": 0, "x0": 2}}
        urllib.request.urlopen(f"http://127.0.0.1:{PROGRAM}/_jobs/news", json.dumps(news).encode(), 2)
class Discovery(Peer):
    def do_GET(self):
        if "from=1&" in self.path: time.sleep(5)
        one = {"instanceId": "w1", "hostPort": f"127.0.0.1:{WORKER}", "zone": "a", "machineType": "m", "cell": 0,
               "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0}
        whole = "from=" not in self.path or "from=0&" in self.path
        self.answer(200, json.dumps({"generation": 1, "reset": whole, "instances": [one] if whole else []}).encode())
threading.Thread(target=http.server.ThreadingHTTPServer(("127.0.0.1", DISCOVERY), Discovery).serve_forever, daemon=True).start()
http.server.ThreadingHTTPServer(("127.0.0.1", WORKER), Worker).serve_forever()
PY
cat >"$folder/config.json" <<'JSON'
{"name": "try", "listen": "127.0.0.1:18080", "discovery": "127.0.0.1:18082", "seed": "8c1f",
 "limits": {"sockets": 256, "memory_mb": 64}, "known": {"generation": 0, "reset": true, "instances": []},
 "settings": {"classes": [{"name": "preview", "aim": 1000000, "deadline": 5000000, "idempotency": "idempotent",
   "keyScope": "zone", "keyTtl": 20000000, "value": 1.0}], "dcs": ["a"], "kinds": ["m"], "az": 0, "registryMode": "ask",
   "familyInfo": {"tellsStart": true, "classStretch": [1.75], "reportX0": "free_slots"},
   "loadInfo": {"how": "inline", "fields": ["waiting", "cpu", "x0"]}, "limits": {"maxAttempts": 3, "mayCancel": true},
   "rules": {"askEvery": 10000000, "coldFrom": 0.3, "warmUp": 1, "overloadFactor": 3.0, "fall": 3000000}}}
JSON
python3 "$folder/peers.py" & started+=($!)
build/heronway serve --config "$folder/config.json" & started+=($!)
for _ in $(seq 50); do
  curl -sf http://127.0.0.1:18080/ready >/dev/null && break
  sleep 0.1
done
echo '-- POST /preview'
curl -sS --max-time 6 -i -X POST -H 'Req-Id: first-job' -H 'Req-Deadline-Ms: 5000' -d '{}' http://127.0.0.1:18080/preview
echo '-- stopping'
kill -TERM "${started[1]}"
wait "${started[1]}"
echo "-- the program ended with $?"
