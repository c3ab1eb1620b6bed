/**
 * Bundles the platform's program into one file, because modules that are loaded one by one cost descriptors and time.
 * `--out FILE` names another file to write. `--without NAME,...` makes a trial bundle that lacks mechanisms of `src/policy-switches.ts`.
 */
import { parseArgs } from 'node:util';
import { build } from 'esbuild';

const { values } = parseArgs({
  options: {
    without: { type: 'string', default: '' },
    out: { type: 'string', default: 'target/aldertide.cjs' },
  },
});

await build({
  entryPoints: ['platform/main.ts'],
  outfile: values.out,
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
