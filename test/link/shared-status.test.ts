/** Statuses that are left out on a connection, and what their receiver makes of that. */
import test from 'ava';
import * as fc from 'fast-check';
import { FRAME_KIND } from '../../src/link/link-frame.js';
import type { StatusHead } from '../../src/link/link-messages.js';
import { LinkPacer, MIN_PACED_FRAME_BYTES } from '../../src/link/link-pacer.js';
import { StatusReceiver, StatusSender, type StatusCarrier } from '../../src/link/shared-status.js';
import { BackendView } from '../../src/sidecar/backend-view.js';
import { ManualTime } from '../sidecar/manual-runtime.js';
import { openConnection } from './recording-socket.js';

const STATUS: StatusHead = {
  instance: 'i@1',
  running: 2,
  waiting: 0,
  slots: 8,
  serviceMs: 100,
  accepting: true,
  sendWaitMs: 10,
  pacing: null,
  pace: 1,
  meanPace: 1,
};

/** Whether a status tells its receiver the same as another one. */
function tellsTheSame(one: StatusHead, other: StatusHead): boolean {
  const busy = [one, other].map(({ running, waiting }) => running + waiting) as [number, number];
  const isFree = Math.max(...busy) <= one.slots / 2;
  return (
    Math.abs(busy[0] - busy[1]) <= (isFree ? 1 : 0) &&
    one.instance === other.instance &&
    one.accepting === other.accepting &&
    one.limitPerSecond === other.limitPerSecond &&
    Math.abs(one.sendWaitMs - other.sendWaitMs) <= 5
  );
}

const statusArbitrary: fc.Arbitrary<StatusHead> = fc
  .record({
    instance: fc.constantFrom('i@1', 'i@1', 'i@2'),
    running: fc.integer({ min: 0, max: 8 }),
    waiting: fc.constantFrom(0, 0, 1, 30),
    accepting: fc.constantFrom(true, true, true, false),
    sendWaitMs: fc.constantFrom(0, 3, 20),
    limitPerSecond: fc.constantFrom<number | null>(null, 14),
  })
  .map((fields) => ({ ...STATUS, ...fields }));

test('each head is received with its status or a later one, also if its frame was overtaken', (t) => {
  const frame = fc.record({
    status: statusArbitrary,
    stream: fc.integer({ min: 1, max: 4 }),
    bodyBytes: fc.constantFrom(0, 400, 3 * MIN_PACED_FRAME_BYTES),
    passMs: fc.constantFrom(0, 0, 5, 40),
  });
  let leftOut = 0;
  fc.assert(
    fc.property(fc.array(frame, { minLength: 5, maxLength: 40 }), (sent) => {
      const time = new ManualTime();
      const sender = openConnection(new LinkPacer(100, time.runtime));
      const receiver = openConnection(null);
      sender.connection.enableShortHeads();
      for (const [index, { status, stream, bodyBytes, passMs }] of sent.entries()) {
        sender.connection.send(FRAME_KIND.answer, stream, { index, status }, Buffer.alloc(bodyBytes));
        time.pass(passMs);
      }
      time.pass(60_000);
      for (const chunk of sender.socket.chunks) receiver.socket.emit('data', chunk);
      sender.connection.close('end of the test');
      const arrived: number[] = [];
      return (
        receiver.frames.length === sent.length &&
        receiver.frames.every(({ head }) => {
          const { index, status } = head as StatusCarrier & { index: number };
          arrived.push(index);
          if (JSON.stringify(status) !== JSON.stringify(sent[index]?.status)) leftOut += 1;
          const allowed = arrived.filter((one) => one >= index).map((one) => sent[one]?.status ?? STATUS);
          return status != null && allowed.some((one) => tellsTheSame(one, status));
        })
      );
    }),
    { seed: 11, numRuns: 80 },
  );
  t.true(leftOut > 0);
});

test('a back end whose statuses are left out does not look busier with each request', (t) => {
  const sender = new StatusSender();
  const receiver = new StatusReceiver();
  const view = new BackendView();
  let leftOut = 0;
  for (let request = 0; request < 50; request += 1) {
    view.recordSent();
    const wire = JSON.parse(
      JSON.stringify(sender.reduce({ status: { ...STATUS } }, () => true)),
    ) as StatusCarrier;
    if (!('status' in wire)) leftOut += 1;
    const { status } = receiver.restore(wire);
    if (status !== null) view.recordStatus(status, request);
    view.recordEnded();
    t.is(view.busy(request), STATUS.running);
    t.true(view.hasFreshStatus(request));
  }
  t.is(leftOut, 49);
});

test('whatever closes or limits a back end is sent at once, and so is a field of a later build', (t) => {
  const changes: readonly object[] = [
    { accepting: false },
    { limitPerSecond: 14 },
    { instance: 'i@2' },
    { slots: 9 },
    { pacing: { delayMs: 1, intervalMs: 70, leftMs: 900 } },
    { running: 4 },
    { running: 8, waiting: 3 },
    { sendWaitMs: 41 },
    { serviceMs: 130 },
    { pace: 1.2 },
    { unknownToThisBuild: 1 },
  ];
  for (const change of changes) {
    const sender = new StatusSender();
    sender.reduce({ status: STATUS }, () => true);
    const changed = { ...STATUS, ...change };
    t.deepEqual(sender.reduce({ status: changed }, () => true).status, changed, JSON.stringify(change));
  }
});

test('small steps add up to a new status, and none comes from nothing', (t) => {
  const sender = new StatusSender();
  const sent = [100, 106, 112, 118].map(
    (serviceMs) => sender.reduce({ status: { ...STATUS, serviceMs } }, () => true).status,
  );
  t.deepEqual(
    sent.map((status) => status?.serviceMs),
    [100, undefined, 112, undefined],
  );
  t.is(sender.reduce({ status: null }, () => true).status, null);
  t.is(new StatusReceiver().restore({}).status, null);
});
