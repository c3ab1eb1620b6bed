/** Line writers and event logs whose reader does not read. */
import { Writable } from 'node:stream';
import test from 'ava';
import { JsonEventLog } from '../../src/telemetry/event-log.js';
import { StreamLineWriter, type LineWriter } from '../../src/telemetry/line-writer.js';

test('a reader that stops reading does not block the writer, and dropped lines are reported', (t) => {
  const stuck = new Writable({ write: () => undefined });
  const writer = new StreamLineWriter(stuck, 100);
  const written = Array.from({ length: 50 }, () => writer.write('0123456789'));
  t.true(written.includes(false));
  t.true(stuck.writableLength < 150);
});

test('a failed stream accepts no further lines', (t) => {
  const failing = new Writable({
    write: (_chunk, _encoding, done) => {
      done(new Error('gone'));
    },
  });
  const writer = new StreamLineWriter(failing);
  writer.write('one');
  failing.emit('error', new Error('gone'));
  t.false(writer.write('two'));
});

test('the number of lines is limited, and the number of dropped lines is logged', (t) => {
  const lines: string[] = [];
  const writer: LineWriter = {
    write: (line) => {
      lines.push(line);
      return true;
    },
  };
  let nowMs = 0;
  const log = new JsonEventLog('daemon', { nowMs: () => nowMs, wallMs: () => nowMs }, writer);
  for (let event = 0; event < 5_000; event += 1) log.event('storm', { event });
  t.true(lines.length <= 401);
  nowMs = 10_000;
  log.event('later', {});
  t.like(JSON.parse(lines.at(-2) ?? ''), { event: 'lines-dropped', lines: log.dropped });
});
