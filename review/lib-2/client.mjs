/** Stand-in of a client: one attempt per call, with an id of its own, on a kept connection where an agent is given. */
import { request as httpRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

/** Sends one request; resolves with status (0: the connection closed without a complete answer). */
export async function attempt(sidecar, ports, options) {
  const { method = 'GET', host, path, key = null, deadlineMs = 2_000, agent, body = '' } = options;
  const requestId = randomBytes(8).toString('hex');
  options.onSent?.(requestId);
  const headers = { host, 'request-id': requestId, 'deadline-ms': String(deadlineMs) };
  if (key !== null) headers['shard-key'] = String(key);
  if (body.length > 0) headers['content-length'] = body.length;
  const startMs = performance.now();
  return await new Promise((done) => {
    const finish = (status, extra = {}) =>
      done({ requestId, status, ms: Math.round(performance.now() - startMs), ...extra });
    const call = httpRequest(
      { host: sidecar.ip, port: ports.callers, method, path, headers, agent },
      (answer) => {
        let bytes = 0;
        answer.on('data', (chunk) => (bytes += chunk.length));
        answer.on('end', () => finish(answer.complete ? answer.statusCode : 0, { bytes }));
        answer.on('error', () => finish(0, { bytes }));
      },
    );
    call.setTimeout(deadlineMs + 1_000, () => call.destroy());
    call.on('error', (error) => finish(0, { error: error.code }));
    call.end(body);
  });
}
