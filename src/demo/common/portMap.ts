/**
 * Moves a set of settings files to other ports. The examples name fixed ports, which may be taken on the
 * machine that runs the demo; every loopback address in them is moved by the same map, so that they still
 * name one another.
 */

/** From the port in the files to the port to use. */
export type PortMap = ReadonlyMap<number, number>;

const loopbackPort = /\b127\.0\.0\.1:(\d+)\b/g;

/** Every loopback port that the texts name, each once, in their order. */
export function listPorts(texts: readonly string[]): number[] {
	const ports = texts.flatMap(text => [...text.matchAll(loopbackPort)].map(match => Number(match[1])));
	return [...new Set(ports)];
}

/** Gives the text with every mapped port replaced; others stay. */
export function applyPortMap(text: string, map: PortMap): string {
	return text.replace(loopbackPort, (address, port: string) => {
		const moved = map.get(Number(port));
		return moved === undefined ? address : `127.0.0.1:${moved}`;
	});
}
