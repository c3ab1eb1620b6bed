/** Guards against options of the deployment that no test runs with, such as ones that a supported runtime does not know. */
import { readFileSync } from 'node:fs';
import test from 'ava';
import { parse } from 'smol-toml';
import { DAEMON_NODE_OPTIONS } from '../../../lab/fleet/daemon-options.js';

interface DeployFile {
  readonly roles: Readonly<Record<string, { readonly run: string }>>;
}

test('the lab, which runs on all supported runtimes, starts daemons with the options of their deployment', (t) => {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as DeployFile;
  for (const { run } of Object.values(roles)) {
    const options = run.split(' ').filter((word) => word.startsWith('--'));
    t.deepEqual(options, [...DAEMON_NODE_OPTIONS], run);
  }
});
