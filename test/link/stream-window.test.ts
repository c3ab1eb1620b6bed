/** Windows of streams: what is sent never exceeds what was granted, and a stream whose caller reads never stops. */
import test from 'ava';
import fc from 'fast-check';
import {
  CREDIT_STEP_BYTES,
  decodeCredit,
  encodeCredit,
  FIRST_WINDOW_BYTES,
  MAX_WINDOW_BYTES,
  REDUCED_WINDOW_BYTES,
  StreamCredit,
  StreamWindow,
} from '../../src/link/stream-window.js';

const WINDOWS = [FIRST_WINDOW_BYTES, REDUCED_WINDOW_BYTES, 0];

test('unread bytes never exceed the first window, and all of the body is sent once the caller reads', (t) => {
  const steps = fc.array(fc.record({ send: fc.nat(200_000), read: fc.nat(200_000), window: fc.nat(2) }), {
    maxLength: 60,
  });
  fc.assert(
    fc.property(steps, (sequence) => {
      const window = new StreamWindow(FIRST_WINDOW_BYTES);
      const credit = new StreamCredit(FIRST_WINDOW_BYTES);
      let unreadBytes = 0;
      let sentBytes = 0;
      const exchange = (send: number, read: number, windowBytes: number): void => {
        const bytes = Math.max(0, Math.min(send, window.availableBytes));
        window.recordSent(bytes);
        sentBytes += bytes;
        unreadBytes += bytes;
        t.true(unreadBytes <= FIRST_WINDOW_BYTES);
        const readNow = Math.min(read, unreadBytes);
        unreadBytes -= readNow;
        const due = credit.recordRead(readNow, windowBytes);
        if (due === 0) return;
        t.true(due >= CREDIT_STEP_BYTES);
        t.true(window.add(decodeCredit(encodeCredit(due)).unwrap()));
      };
      for (const { send, read, window: choice } of sequence) exchange(send, read, WINDOWS[choice] ?? 0);
      const before = sentBytes;
      for (let round = 0; round < 50; round += 1) exchange(Infinity, Infinity, REDUCED_WINDOW_BYTES);
      t.true(sentBytes >= before + 49 * REDUCED_WINDOW_BYTES - FIRST_WINDOW_BYTES);
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('an answer within the first window needs no credit while it is read', (t) => {
  const credit = new StreamCredit(FIRST_WINDOW_BYTES);
  t.is(credit.recordRead(CREDIT_STEP_BYTES - 1, FIRST_WINDOW_BYTES), 0);
});

test('a frame that exceeds the window stops the stream until its credit has returned', (t) => {
  const window = new StreamWindow(10);
  window.recordSent(25);
  t.true(window.add(15));
  t.is(window.availableBytes, 0);
  t.true(window.add(1));
  t.is(window.availableBytes, 1);
});

test('unreadable or impossible credit changes nothing', (t) => {
  for (const body of [Buffer.alloc(0), Buffer.alloc(4), Buffer.alloc(5, 1), Buffer.alloc(4, 0xff)])
    t.true(decodeCredit(body).err);
  const window = new StreamWindow(10);
  for (const bytes of [0, -1, 1.5, Number.NaN, Infinity, MAX_WINDOW_BYTES]) t.false(window.add(bytes));
  t.is(window.availableBytes, 10);
});
