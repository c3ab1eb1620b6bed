/**
 * Guards against a configuration that can no longer change because of what it held before: names that were dropped must not take
 * the room of those that are present.
 */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { ConfigurationSize } from '../../src/directory/configuration-size.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { emptyDirectoryState, type ConfigurationItem } from '../../src/directory/directory-state.js';

const MACHINE_BYTES = 346e6;
const HEAP_BYTES = 160 * 1024 * 1024;
const RELEASES = 600;
const ROUTES = 350;

function routesOf(release: number): ConfigurationItem[] {
  return Array.from({ length: ROUTES }, (_, at) => {
    const definition = {
      host: 'h.example',
      pathPrefix: '/',
      kind: 'safe',
      timeoutMs: 1_000,
      targetLatencyMs: 1_000,
      priority: 0,
      maxAttempts: 1,
      destinations: [],
    } as const;
    const name = `route-${release}-${at}`;
    return { kind: 'route', name, version: release, source: JSON.stringify(definition), definition };
  });
}

test('a configuration of constant size whose names change stays within the limit of the state', (t) => {
  const { stateBytes } = replicaLimits(MACHINE_BYTES, HEAP_BYTES);
  const state = emptyDirectoryState();
  const size = new ConfigurationSize();
  for (let release = 1; release <= RELEASES; release += 1) {
    const items = routesOf(release);
    const [base, digest] = [release - 1, `d${release}`];
    const command = {
      kind: 'configure-revision',
      base,
      version: release,
      digest,
      replacesAll: true,
      items,
    } as const;
    if (size.bytesAfter(items) > stateBytes) {
      t.fail(`release ${release} is refused: ${state.items.size} items, ${ROUTES} of them present`);
      return;
    }
    size.record(applyDirectoryCommand(state, command, release).changes);
  }
  t.pass();
});
