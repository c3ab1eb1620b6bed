/** Which back ends are to be emptied: those that an operator named, and all in zones that are evacuated. */
import type { Change } from './changes.js';
import type { ControlState } from './control-state.js';

/** Whether the configuration names a back end in a zone. */
export function isConfiguredZone(state: ControlState, zone: string): boolean {
  return configuredBackends(state).some((backend) => backend.zone === zone);
}

/** Whether the configuration names a back end. */
export function isConfiguredBackend(state: ControlState, name: string): boolean {
  return configuredBackends(state).some((backend) => backend.name === name);
}

/** Brings the back ends that are to be emptied up to date; returns what has changed. */
export function refreshLeaving(state: ControlState): Change[] {
  const inEvacuatedZones = configuredBackends(state).filter(({ zone }) => state.evacuatedZones.has(zone));
  const wanted = new Set([...state.drained, ...inEvacuatedZones.map(({ name }) => name)]);
  const changes: Change[] = [];
  for (const backend of wanted) {
    if (!state.draining.has(backend)) changes.push({ kind: 'drain', backend, draining: true });
  }
  for (const backend of state.draining) {
    if (!wanted.has(backend)) changes.push({ kind: 'drain', backend, draining: false });
  }
  state.draining.clear();
  for (const backend of wanted) state.draining.add(backend);
  return changes;
}

interface ConfiguredBackend {
  readonly name: string;
  readonly zone: string;
}

function configuredBackends({ configuration }: ControlState): ConfiguredBackend[] {
  return Object.values(configuration.document.services).flatMap(({ backends }) =>
    Object.entries(backends).map(([name, { zone }]) => ({ name, zone })),
  );
}
