/** A configuration item that is nested too deeply to be written is refused: it ended each directory that it was sent to. */
import test from 'ava';
import { readCommand } from '../../platform/operator-calls.js';

const NESTING = 200_000;

test('an item that is nested too deeply to be written is refused', async (t) => {
  const nested = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`;
  const body = `{"upsert":{"services":{"s":{"version":1,"x":${nested}}}}}`;
  t.true((await readCommand({ method: 'PATCH', path: '/config', headers: {}, body })).err);
});
