/**
 * Bundles the platform's program into one file, because modules that are loaded one by one cost descriptors and time.
 * `--without NAME,...` makes a trial bundle that lacks mechanisms of `src/policy-switches.ts`.
 */
import { parseArgs } from 'node:util';
import { build } from 'esbuild';

const { values } = parseArgs({ options: { without: { type: 'string', default: '' } } });

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/aldertide.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  define: { ALDERTIDE_WITHOUT: JSON.stringify(values.without) },
});
