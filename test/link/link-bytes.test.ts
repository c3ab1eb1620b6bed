/** Byte counters, the zones of peers, and the bytes of the directory connection. */
import test from 'ava';
import { FRAME_KIND } from '../../src/link/link-frame.js';
import { LinkBytes } from '../../src/link/link-bytes.js';
import type { ClientHandlers } from '../../src/runtime/runtime.js';
import { countDirectoryBytes } from '../../src/sidecar/directory-bytes.js';
import { PeerZones } from '../../src/sidecar/peer-zones.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

test('the log gets each byte once, the metric all of them', (t) => {
  const bytes = new LinkBytes();
  const meter = bytes.meter(() => 'cross-zone');
  meter.recordSent(FRAME_KIND.request, 100, 20);
  t.deepEqual(bytes.takeNew(), { 'cross-zone': { request: 100, body: 20 } });
  t.is(bytes.takeNew(), null);
  meter.recordSent(FRAME_KIND.pong, 13, 0);
  meter.recordSent(FRAME_KIND.request, 50, 0);
  t.deepEqual(bytes.takeNew(), { 'cross-zone': { request: 50, heartbeat: 13 } });
  t.is(
    bytes.totals().reduce((sum, count) => sum + count.bytes, 0),
    183,
  );
});

test('a host with daemons of several zones is not counted for either', (t) => {
  const zones = new PeerZones('a', '10.0.0.1:1');
  const instance = (daemonAddress: string, zone: string) => ({ daemonAddress, zone }) as never;
  zones.update([instance('10.0.0.2:1', 'a'), instance('10.0.0.3:1', 'b'), instance('10.0.0.3:2', 'a')]);
  t.deepEqual(
    ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'].map((address) => zones.scopeOf(address)),
    ['machine', 'zone', 'cross-zone', 'unknown'],
  );
  t.is(zones.scopeOfHost('10.0.0.3'), 'unknown');
  t.is(zones.scopeOfHost('::ffff:10.0.0.2'), 'zone');
});

test('bytes of the directory connection are counted by the message they belong to', (t) => {
  const traffic = { bytesSent: 0, bytesReceived: 0 };
  let handlers: ClientHandlers | null = null;
  const bytes = new LinkBytes();
  const network = {
    ...new ManualTime().runtime,
    dial: (_address: unknown, _identity: unknown, given: ClientHandlers) => {
      handlers = given;
      const send = (): boolean => {
        traffic.bytesSent += 40;
        return true;
      };
      return { send, sendEncoded: send, traffic: () => traffic, stop: () => undefined };
    },
  };
  const received: unknown[] = [];
  const client = countDirectoryBytes(network, bytes).dial({ host: 'h', port: 1 }, {} as never, {
    onOpen: () => undefined,
    onMessage: (message) => received.push(message),
    onClose: () => undefined,
  });
  traffic.bytesSent += 7;
  client.send({ kind: 'watch' });
  for (const [kind, size] of [
    ['table', 500],
    ['alive', 30],
    ['renewed', 60],
  ] as const) {
    traffic.bytesReceived += size;
    (handlers as ClientHandlers | null)?.onMessage({ kind });
  }
  t.is(received.length, 3);
  const expected = { heartbeat: 7, 'directory-request': 40, 'directory-table': 500, 'directory-alive': 30 };
  t.deepEqual(bytes.takeNew(), { unknown: { ...expected, 'directory-notice': 60 } });
});
