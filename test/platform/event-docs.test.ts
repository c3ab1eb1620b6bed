/** The table of events in docs/OPERATIONS.md lists exactly the events that the daemons log. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';

const EVENT_CALL = /(?:\.event|\.failure|\.routine|this\.log|this\.write)\(\s*'([a-z-]+)'/g;

function eventsIn(folder: string): string[] {
  const files = readdirSync(folder).filter((file) => file.endsWith('.ts'));
  return files.flatMap((file) =>
    [...readFileSync(join(folder, file), 'utf8').matchAll(EVENT_CALL)].map((match) => match[1] ?? ''),
  );
}

test('the table lists exactly the events in the code', (t) => {
  const written = new Set(
    ['src/sidecar', 'src/quarantine', 'src/directory', 'src/telemetry', 'platform'].flatMap(eventsIn),
  );
  const table = readFileSync('docs/OPERATIONS.md', 'utf8').split('### Events')[1]?.split('###')[0] ?? '';
  const described = new Set([...table.matchAll(/`([a-z-]+)`/g)].map((match) => match[1] ?? ''));
  t.deepEqual([...written].sort(), [...described].sort());
  t.true(written.size > 20);
});
