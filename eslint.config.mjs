import tseslint from 'typescript-eslint';
import { functionVerbs } from './scripts/functionVerbs.mjs';

/** Layers from the lowest to the highest; a folder imports only from its own layer and those before it. */
const layers = [
	'base',
	'core',
	'entry',
	'ctl',
	'standin',
	'load',
	'bench',
	'capacity',
	'demo',
	'prove',
	'bin',
];

/** Features beside each other: none of them imports another, whatever their order in `layers`. */
const features = ['entry', 'ctl', 'standin', 'load', 'bench', 'capacity', 'demo', 'prove'];

/** The bench measures the pure decisions of the entry, the capacity measurement makes entries of its parts. */
const measured = 'entry';

/** The failure campaign runs on the demo's harness of processes. */
const harnessOfProve = 'demo';

/** The only imports between features, from the one that imports to the one that is imported. */
const allowedBeside = new Map([
	['bench', measured],
	['capacity', measured],
	['prove', harnessOfProve],
]);

/** Packages that touch the network, the file system or the process; `common` stays free of them. */
const nodeOnlyPackages = ['undici', 'pino', 'yargs', 'prom-client', '@connectrpc/connect-node'];

const verbPattern = `^(${functionVerbs.join('|')})(?![a-z])`;

function listLayersBarredFrom(layer) {
	const above = layers.slice(layers.indexOf(layer) + 1);
	const isAllowed = other => other === layer || allowedBeside.get(layer) === other;
	const beside = features.includes(layer) ? features.filter(other => !isAllowed(other)) : [];
	return layer === 'bin' ? [] : [...new Set([...above, ...beside])];
}

function createLayerRule(layer, isCommon) {
	const barred = listLayersBarredFrom(layer).map(other => ({
		group: [`**/${other}/**`],
		message: `src/${layer} may not import from src/${other}: imports go downwards only.`,
	}));
	if (layer === 'bench') {
		barred.push({
			group: [`**/${measured}/node/**`],
			message: 'src/bench measures pure decisions: it imports only entry/common.',
		});
	}
	const pure = [
		{
			group: ['node:*', '**/node/**'],
			message: 'common modules are pure: no node: modules, no node folders.',
		},
	];
	return {
		files: [isCommon ? `src/${layer}/**/common/**/*.ts` : `src/${layer}/**/*.ts`],
		ignores: isCommon ? ['**/test/**'] : [],
		rules: {
			'no-restricted-imports': [
				'error',
				{ patterns: [...barred, ...(isCommon ? pure : [])], paths: isCommon ? nodeOnlyPackages : [] },
			],
		},
	};
}

/** The platform's adapter: nothing but the programs' composition may know it, and it decides nothing itself. */
const platformRules = [
	{
		files: ['src/**/*.ts'],
		ignores: ['src/bin/**'],
		rules: {
			'@typescript-eslint/no-restricted-imports': [
				'error',
				{
					patterns: [
						{
							regex: '^(\\.\\./)+platform/',
							message: 'only src/bin puts the adapter of the platform into a program.',
						},
					],
				},
			],
		},
	},
	{
		files: ['platform/common/**/*.ts'],
		ignores: ['**/test/**'],
		rules: {
			'no-restricted-imports': [
				'error',
				{
					patterns: [
						{
							group: ['node:*', '**/node/**'],
							message: 'common modules are pure: no node: modules, no node folders.',
						},
					],
					paths: nodeOnlyPackages,
				},
			],
		},
	},
];

export default tseslint.config(
	{
		ignores: [
			'dist/',
			'target/',
			'node_modules/',
			'src/gen/',
			'*.cjs',
			'*.mjs',
			'scripts/*.mjs',
			'scripts/*.cjs',
		],
	},
	...tseslint.configs.strictTypeChecked,
	...tseslint.configs.stylisticTypeChecked,
	{
		languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
		rules: {
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'prefer-const': 'error',
			'@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
			'@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
			'@typescript-eslint/no-extraneous-class': 'off',
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['function', 'classMethod', 'typeMethod'],
					format: ['camelCase'],
					// Callbacks that a library's interface names keep its names.
					filter: { regex: '^on[A-Z]', match: false },
					custom: { regex: verbPattern, match: true },
				},
				// A method that a library's class names keeps its name.
				{ selector: 'classMethod', modifiers: ['override'], filter: '.', format: ['camelCase'] },
				{ selector: 'interface', filter: '^I[A-Z]', format: ['PascalCase'] },
				{ selector: ['class', 'typeAlias', 'enum', 'enumMember'], format: ['PascalCase'] },
			],
		},
	},
	...layers
		.filter(layer => layer !== 'bin')
		.flatMap(layer => [createLayerRule(layer, false), createLayerRule(layer, true)]),
	...platformRules,
	{
		files: ['src/**/test/**/*.ts', 'platform/**/test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-non-null-assertion': 'off',
			'@typescript-eslint/unbound-method': 'off',
		},
	},
);
