/** Draining back ends: those that an operator drains, all in evacuated zones, and those that leave by themselves. */
import type { Change } from './changes.js';
import type { ControlState } from './control-state.js';

/** Returns whether the configuration contains a back end in the zone. */
export function isConfiguredZone(state: ControlState, zone: string): boolean {
  return configuredBackends(state).some((backend) => backend.zone === zone);
}

/** Returns whether the configuration contains the back end. */
export function isConfiguredBackend(state: ControlState, name: string): boolean {
  return configuredBackends(state).some((backend) => backend.name === name);
}

/** Recomputes the set of draining back ends; returns the changes. */
export function updateDraining(state: ControlState): Change[] {
  const inEvacuatedZones = configuredBackends(state).filter(({ zone }) => state.evacuatedZones.has(zone));
  const leaving = [...state.sessions.values()].filter((session) => session.leaving === true);
  const toDrain = new Set([
    ...state.drained,
    ...inEvacuatedZones.map(({ name }) => name),
    ...leaving.map(({ backend }) => backend),
  ]);
  const changes: Change[] = [];
  for (const backend of toDrain) {
    if (!state.draining.has(backend)) changes.push({ kind: 'drain', backend, draining: true });
  }
  for (const backend of state.draining) {
    if (!toDrain.has(backend)) changes.push({ kind: 'drain', backend, draining: false });
  }
  state.draining.clear();
  for (const backend of toDrain) state.draining.add(backend);
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
