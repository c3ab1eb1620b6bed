/**
 * Heads that were compressed on links without a backlog took most of the processor time of a small machine. A connection
 * changes between short and plain heads at any time, and each head arrives with its own status.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { FRAME_KIND } from '../../src/link/link-frame.js';
import type { StatusHead } from '../../src/link/link-messages.js';
import { openConnection } from './recording-socket.js';

const SEEDS = 20;
const FRAMES = 200;
const STATUS: StatusHead = {
  instance: 'one',
  running: 0,
  waiting: 0,
  slots: 40,
  serviceMs: 10,
  accepting: true,
  sendWaitMs: 0,
  pacing: null,
  pace: 1,
  meanPace: 1,
};

for (let seed = 1; seed <= SEEDS; seed += 1) {
  test(`short and plain heads in turn, seed ${seed}`, (t) => {
    const random = new Random(seed);
    let saves = false;
    const sender = openConnection(null, () => saves);
    const receiver = openConnection(null);
    sender.connection.enableShortHeads();
    const sent: { running: number; isShort: boolean }[] = [];
    for (let frame = 0; frame < FRAMES; frame += 1) {
      if (random.below(6) === 0) saves = !saves;
      const status = random.below(5) === 0 ? null : { ...STATUS, running: random.below(4) * 10 };
      sender.connection.send(FRAME_KIND.refusal, frame, {
        reason: 'busy',
        arrived: false,
        retryAfterMs: 5,
        status,
      });
      sent.push({ running: status?.running ?? -1, isShort: saves });
    }
    receiver.socket.emit('data', Buffer.concat(sender.socket.chunks));
    const received = receiver.frames.map(({ head }) => (head as { status: StatusHead | null }).status);
    t.deepEqual(
      received.map((status) => status?.running ?? -1),
      sent.map(({ running }) => running),
    );
    t.deepEqual(receiver.closeReasons, []);
  });
}
